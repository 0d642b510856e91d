/**
 * Claims on tickets that this incarnation minted. Its memory is the fence:
 * every ticket that may still begin is either here or was never begun.
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
/** Ended tickets are remembered for another lifetime after the last begin. */
const REMEMBERED_AFTER_MINT_MS = 2 * TICKET_LIFETIME_MS;
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
  /** Remaining time, milliseconds. */
  readonly deadlineMs: number;
}

export interface TicketClaims {
  mint(time: StepTime): string;
  isOurs(ticket: Ticket): boolean;
  /** Nothing when only a record in the store may tell. */
  begin(begin: TicketBegin, time: StepTime): ClaimDecision | undefined;
  end(key: ClaimKey, nonce: string, end: ClaimEnd, time: StepTime): boolean;
  tick(time: StepTime): void;
  size(): number;
}

export function createTicketClaims(
  options: ClaimsOptions,
  late: DeferredWrites,
): TicketClaims {
  const claims = new Map<string, TicketClaim>();
  const life = `${options.incarnation}.${options.epoch}`;
  let lastCounter = 0;
  let answerCharacters = 0;
  let nextSweepMs = 0;

  function beginAgain(
    claim: TicketClaim,
    begin: TicketBegin,
    time: StepTime,
  ): ClaimDecision {
    if (claim.fingerprint !== begin.fingerprint) {
      return {kind: 'key-reused'};
    }
    switch (claim.end?.kind) {
      case undefined:
        return decideOpen(claim, begin, time);
      case 'answered':
        return {kind: 'replay', answer: claim.end.answer};
      case 'unknown':
        return {kind: 'outcome-unknown'};
      case 'not-run':
        return reopen(claim, begin, time);
    }
  }

  function decideOpen(
    claim: TicketClaim,
    begin: TicketBegin,
    time: StepTime,
  ): ClaimDecision {
    if (claim.nonce === begin.nonce) {
      return {kind: 'run', token: claim.nonce};
    }
    const leftMs = claim.deadlineAtMs + DEADLINE_MARGIN_MS - time.nowMs;
    return leftMs > 0
      ? {kind: 'in-progress', retryAfterMs: Math.min(leftMs, RETRY_AFTER_MS)}
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
    asked: TicketBegin,
    time: StepTime,
  ): ClaimDecision | undefined {
    const key = claimStoreKey(asked.key);
    const claim = claims.get(key);
    if (claim) {
      return beginAgain(claim, asked, time);
    }
    if (!ticketMayBegin(asked.ticket, time.wallMs)) {
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
      fingerprint: asked.fingerprint,
      mintedAtWallMs: asked.ticket.mintedAtWallMs,
      nonce: asked.nonce,
      deadlineAtMs: time.nowMs + asked.deadlineMs,
      claimedAtWallMs: time.wallMs,
    });
    return {kind: 'run', token: asked.nonce};
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
    const kept = omitLongBody(ended, options.maximumRecordedBytes);
    claim.end = trimToRoom(kept);
    if (kept.kind !== 'not-run') {
      record(key, claim, kept, time);
    }
    return true;
  }

  /** Without room for its body, an answer is known but not replayed whole. */
  function trimToRoom(end: ClaimEnd): ClaimEnd {
    const characters = sizeOf(end);
    if (answerCharacters + characters > MAXIMUM_ANSWER_CHARACTERS) {
      return omitLongBody(end, -1);
    }
    answerCharacters += characters;
    return end;
  }

  /** For resends after this incarnation is gone; never the fence. */
  function record(
    key: string,
    claim: TicketClaim,
    ended: ClaimEnd,
    time: StepTime,
  ): void {
    late.add(
      {
        key,
        way: {kind: 'create'},
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
      if (ageMs > REMEMBERED_AFTER_MINT_MS) {
        answerCharacters -= claim.end ? sizeOf(claim.end) : 0;
        claims.delete(key);
      }
    }
  }

  return {
    mint: time => {
      lastCounter += 1;
      return formatTicket({
        vm: options.vm,
        incarnation: life as Ticket['incarnation'],
        mintedAtWallMs: Math.floor(time.wallMs),
        counter: lastCounter,
      });
    },
    isOurs: ticket => ticket.vm === options.vm && ticket.incarnation === life,
    begin,
    end,
    tick,
    size: () => claims.size,
  };
}

function sizeOf(end: ClaimEnd): number {
  return end.kind === 'answered' ? (end.answer.bodyBase64?.length ?? 0) : 0;
}
