/**
 * Claims on tickets that this incarnation minted, held only in its memory: an
 * operation under a ticket that has not expired has begun only if the ticket is
 * in this table.
 */
import {claimStoreKey, omitLongBody} from './claim_record.js';
import type {ClaimsOptions, StepTime} from './claims_types.js';
import type {DeferredWrites} from './deferred_writes.js';
import {DEADLINE_MARGIN_MS} from './store_claims.js';
import {
  TICKET_LIFETIME_MS,
  type Ticket,
  formatTicket,
  ticketMayBegin,
} from './tickets.js';
import type {ClaimDecision, ClaimEnd, ClaimKey} from './types.js';

export const MAXIMUM_TICKET_CLAIMS = 50_000;
const MAXIMUM_ANSWER_CHARACTERS = 16_777_216;
const RETRY_AFTER_MS = 1_000;
/** Claims are kept for one more lifetime after their ticket has expired. */
const RETENTION_AFTER_MINT_MS = 2 * TICKET_LIFETIME_MS;
const SWEEP_INTERVAL_MS = 10_000;

interface TicketClaim {
  readonly fingerprint: string;
  readonly mintedAtWallMs: number;
  nonce: string;
  deadlineAtMs: number;
  claimedAtWallMs: number;
  end?: ClaimEnd;
}

export interface TicketBegin {
  readonly key: ClaimKey;
  readonly ticket: Ticket;
  readonly fingerprint: string;
  readonly nonce: string;
  /** Remaining time of the request: a duration, not a point in time. */
  readonly deadlineMs: number;
}

export interface TicketClaims {
  mint(time: StepTime): string;
  /** Whether this incarnation minted the ticket in its current epoch. */
  isOwnTicket(ticket: Ticket): boolean;
  /**
   * Returns undefined if the ticket has expired and is not in this table; then
   * only a record in the store can decide.
   */
  begin(begin: TicketBegin, time: StepTime): ClaimDecision | undefined;
  /** Returns false if the table has no claim on this key with this nonce. */
  end(key: ClaimKey, nonce: string, end: ClaimEnd, time: StepTime): boolean;
  tick(time: StepTime): void;
  size(): number;
}

export function createTicketClaims(
  options: ClaimsOptions,
  deferredWrites: DeferredWrites,
): TicketClaims {
  const claims = new Map<string, TicketClaim>();
  const ticketIncarnation = `${options.incarnation}.${options.epoch}`;
  let lastCounter = 0;
  let answerCharacters = 0;
  let nextSweepMs = 0;

  function beginExisting(
    claim: TicketClaim,
    begin: TicketBegin,
    time: StepTime,
  ): ClaimDecision {
    if (claim.fingerprint !== begin.fingerprint) {
      return {kind: 'key-reused'};
    }
    switch (claim.end?.kind) {
      case undefined:
        return decideOpenClaim(claim, begin, time);
      case 'answered':
        return {kind: 'replay', answer: claim.end.answer};
      case 'unknown':
        return {kind: 'outcome-unknown'};
      case 'not-run':
        return reopen(claim, begin, time);
    }
  }

  function decideOpenClaim(
    claim: TicketClaim,
    begin: TicketBegin,
    time: StepTime,
  ): ClaimDecision {
    if (claim.nonce === begin.nonce) {
      return {kind: 'run', token: claim.nonce};
    }
    const remainingMs = claim.deadlineAtMs + DEADLINE_MARGIN_MS - time.nowMs;
    return remainingMs > 0
      ? {
          kind: 'in-progress',
          retryAfterMs: Math.min(remainingMs, RETRY_AFTER_MS),
        }
      : {kind: 'outcome-unknown'};
  }

  function reopen(
    claim: TicketClaim,
    begin: TicketBegin,
    time: StepTime,
  ): ClaimDecision {
    if (!ticketMayBegin(begin.ticket, time.wallMs)) {
      return {
        kind: 'unavailable',
        retryAfterMs: RETRY_AFTER_MS,
        outcome: 'not-run',
      };
    }
    claim.nonce = begin.nonce;
    claim.deadlineAtMs = time.nowMs + begin.deadlineMs;
    claim.claimedAtWallMs = time.wallMs;
    claim.end = undefined;
    return {kind: 'run', token: claim.nonce};
  }

  function begin(
    ticketBegin: TicketBegin,
    time: StepTime,
  ): ClaimDecision | undefined {
    const key = claimStoreKey(ticketBegin.key);
    const claim = claims.get(key);
    if (claim) {
      return beginExisting(claim, ticketBegin, time);
    }
    if (!ticketMayBegin(ticketBegin.ticket, time.wallMs)) {
      return undefined;
    }
    if (claims.size >= MAXIMUM_TICKET_CLAIMS) {
      return {
        kind: 'unavailable',
        retryAfterMs: RETRY_AFTER_MS,
        outcome: 'not-run',
      };
    }
    claims.set(key, {
      fingerprint: ticketBegin.fingerprint,
      mintedAtWallMs: ticketBegin.ticket.mintedAtWallMs,
      nonce: ticketBegin.nonce,
      deadlineAtMs: time.nowMs + ticketBegin.deadlineMs,
      claimedAtWallMs: time.wallMs,
    });
    return {kind: 'run', token: ticketBegin.nonce};
  }

  function end(
    claimKey: ClaimKey,
    nonce: string,
    ended: ClaimEnd,
    time: StepTime,
  ): boolean {
    const key = claimStoreKey(claimKey);
    const claim = claims.get(key);
    if (!claim || claim.nonce !== nonce) {
      return false;
    }
    if (claim.end && claim.end.kind !== 'unknown') {
      return true;
    }
    const recordedEnd = omitLongBody(ended, options.maximumRecordedBytes);
    claim.end = omitBodyIfFull(recordedEnd);
    if (recordedEnd.kind !== 'not-run') {
      record(key, claim, recordedEnd, time);
    }
    return true;
  }

  /**
   * Drops the body of an answer if the memory for bodies is used up. The answer
   * is then known but cannot be replayed in full.
   */
  function omitBodyIfFull(end: ClaimEnd): ClaimEnd {
    const characters = bodyCharacters(end);
    if (answerCharacters + characters > MAXIMUM_ANSWER_CHARACTERS) {
      return omitLongBody(end, -1);
    }
    answerCharacters += characters;
    return end;
  }

  /**
   * Writes the record that answers resends after this incarnation has ended. It
   * does not decide who may run the operation.
   */
  function record(
    key: string,
    claim: TicketClaim,
    ended: ClaimEnd,
    time: StepTime,
  ): void {
    deferredWrites.add(
      {
        key,
        operation: {kind: 'create'},
        record: {
          fingerprint: claim.fingerprint,
          vm: options.vm,
          incarnation: options.incarnation,
          nonce: claim.nonce,
          claimedAtWallMs: claim.claimedAtWallMs,
          deadlineWallMs: time.wallMs,
          end: ended,
        },
      },
      time.nowMs,
    );
  }

  function tick(time: StepTime): void {
    if (time.nowMs < nextSweepMs) {
      return;
    }
    nextSweepMs = time.nowMs + SWEEP_INTERVAL_MS;
    for (const [key, claim] of claims) {
      const ageMs = time.wallMs - claim.mintedAtWallMs;
      if (ageMs > RETENTION_AFTER_MINT_MS) {
        answerCharacters -= claim.end ? bodyCharacters(claim.end) : 0;
        claims.delete(key);
      }
    }
  }

  return {
    mint: time => {
      lastCounter += 1;
      return formatTicket({
        vm: options.vm,
        incarnation: ticketIncarnation as Ticket['incarnation'],
        mintedAtWallMs: Math.floor(time.wallMs),
        counter: lastCounter,
      });
    },
    isOwnTicket: ticket =>
      ticket.vm === options.vm && ticket.incarnation === ticketIncarnation,
    begin,
    end,
    tick,
    size: () => claims.size,
  };
}

function bodyCharacters(end: ClaimEnd): number {
  return end.kind === 'answered' ? (end.answer.bodyBase64?.length ?? 0) : 0;
}
