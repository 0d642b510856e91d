/**
 * Operations under tickets that another VM minted. This VM asks the minting VM
 * for a decision, runs the operation if the claim is granted, and reports the
 * end back.
 */
import {
  type ClaimRecord,
  claimRecordSchema,
  claimStoreKey,
  omitLongBody,
} from './claim_record.js';
import type {
  ClaimStoreResult,
  ClaimsAction,
  ClaimsOptions,
  StepTime,
} from './claims_types.js';
import type {DeferredWrites} from './deferred_writes.js';
import type {ClaimPeerMessage} from './peer_messages.js';
import type {StoreAccess} from './store_access.js';
import type {Ticket} from './tickets.js';
import type {ClaimDecision, ClaimEnd, ClaimKey, ClaimRequest} from './types.js';

const RESEND_INTERVAL_MS = 400;
const MAXIMUM_BEGIN_ATTEMPTS = 3;
const MAXIMUM_END_ATTEMPTS = 20;
const RETRY_AFTER_MS = 2_000;

interface PendingBegin {
  readonly correlationId: number;
  readonly request: ClaimRequest;
  readonly ticket: Ticket;
  readonly nonce: string;
  /** Deadline of the request, on the monotonic clock. */
  readonly deadlineAtMs: number;
  attempts: number;
  nextSendMs: number;
}

interface PendingEnd {
  readonly correlationId?: number;
  readonly to: Ticket['vm'];
  readonly key: ClaimKey;
  readonly nonce: string;
  readonly end: ClaimEnd;
  readonly record?: ClaimRecord;
  attempts: number;
  nextSendMs: number;
}

export interface RemoteTickets {
  begin(
    correlationId: number,
    request: ClaimRequest,
    ticket: Ticket,
    time: StepTime,
  ): void;
  /** Returns false if no operation with this token runs on this VM. */
  end(
    correlationId: number,
    token: string,
    end: ClaimEnd,
    time: StepTime,
  ): boolean;
  handleDecision(nonce: string, decision: ClaimDecision): void;
  /** @param known Whether the minting VM has a claim with this nonce. */
  handleEndKept(nonce: string, known: boolean): void;
  /** Decides from the record in the store; the decision is never `run`. */
  decideFromStore(
    request: Pick<ClaimRequest, 'key' | 'fingerprint' | 'firstAttempt'>,
    onDecision: (decision: ClaimDecision) => void,
  ): void;
  tick(time: StepTime): void;
}

export interface RemoteTicketsDependencies {
  readonly options: ClaimsOptions;
  readonly store: StoreAccess;
  readonly deferredWrites: DeferredWrites;
  readonly emit: (action: ClaimsAction) => void;
  readonly isMintingVmGone: (ticket: Ticket) => boolean;
}

export function createRemoteTickets(
  dependencies: RemoteTicketsDependencies,
): RemoteTickets {
  const {options, store, deferredWrites, emit} = dependencies;
  const pendingBegins = new Map<string, PendingBegin>();
  const running = new Map<string, PendingBegin>();
  const pendingEnds = new Map<string, PendingEnd>();
  let lastNonce = 0;

  function send(to: Ticket['vm'], message: ClaimPeerMessage): void {
    emit({kind: 'send', to, message});
  }

  function begin(
    correlationId: number,
    request: ClaimRequest,
    ticket: Ticket,
    time: StepTime,
  ): void {
    if (dependencies.isMintingVmGone(ticket)) {
      decideFromStore(request, decision =>
        emit({kind: 'decide', correlationId, decision}),
      );
      return;
    }
    lastNonce += 1;
    const pending: PendingBegin = {
      correlationId,
      request,
      ticket,
      nonce: `${options.vm}.${options.incarnation}.${options.epoch}.r${lastNonce}`,
      deadlineAtMs: time.nowMs + request.remainingMs,
      attempts: 0,
      nextSendMs: 0,
    };
    pendingBegins.set(pending.nonce, pending);
    sendBegin(pending, time);
  }

  function sendBegin(pending: PendingBegin, time: StepTime): void {
    pending.attempts += 1;
    pending.nextSendMs = time.nowMs + RESEND_INTERVAL_MS;
    send(pending.ticket.vm, {
      kind: 'ticket-begin',
      key: pending.request.key,
      fingerprint: pending.request.fingerprint,
      nonce: pending.nonce,
      deadlineMs: Math.max(0, pending.deadlineAtMs - time.nowMs),
    });
  }

  function handleDecision(nonce: string, decision: ClaimDecision): void {
    const pending = pendingBegins.get(nonce);
    if (!pending) {
      return;
    }
    pendingBegins.delete(nonce);
    if (decision.kind === 'run') {
      running.set(pending.nonce, pending);
      const {correlationId} = pending;
      emit({
        kind: 'decide',
        correlationId,
        decision: {...decision, token: pending.nonce},
      });
      return;
    }
    emit({kind: 'decide', correlationId: pending.correlationId, decision});
  }

  /**
   * The minting VM may have granted the claim although its decision did not
   * arrive, so it is told that the operation did not run.
   */
  function abandonBegin(pending: PendingBegin, time: StepTime): void {
    pendingBegins.delete(pending.nonce);
    reportEnd(pending, {kind: 'not-run'}, undefined, time);
    if (dependencies.isMintingVmGone(pending.ticket)) {
      decideFromStore(pending.request, decision =>
        emit({kind: 'decide', correlationId: pending.correlationId, decision}),
      );
      return;
    }
    emit({
      kind: 'decide',
      correlationId: pending.correlationId,
      decision: unavailable(pending.request.firstAttempt),
    });
  }

  function reportEnd(
    pending: PendingBegin,
    end: ClaimEnd,
    correlationId: number | undefined,
    time: StepTime,
  ): void {
    const recordedEnd = omitLongBody(end, options.maximumRecordedBytes);
    const pendingEnd: PendingEnd = {
      correlationId,
      to: pending.ticket.vm,
      key: pending.request.key,
      nonce: pending.nonce,
      end: recordedEnd,
      record:
        recordedEnd.kind === 'not-run'
          ? undefined
          : recordOf(pending, recordedEnd, time),
      attempts: 0,
      nextSendMs: 0,
    };
    pendingEnds.set(pending.nonce, pendingEnd);
    sendEnd(pendingEnd, time);
  }

  function recordOf(
    pending: PendingBegin,
    end: ClaimEnd,
    time: StepTime,
  ): ClaimRecord {
    return {
      fingerprint: pending.request.fingerprint,
      vm: options.vm,
      incarnation: options.incarnation,
      nonce: pending.nonce,
      claimedAtWallMs: time.wallMs,
      deadlineWallMs: time.wallMs,
      end,
    };
  }

  function sendEnd(pendingEnd: PendingEnd, time: StepTime): void {
    pendingEnd.attempts += 1;
    pendingEnd.nextSendMs =
      time.nowMs + RESEND_INTERVAL_MS * pendingEnd.attempts;
    const {key, nonce, end} = pendingEnd;
    send(pendingEnd.to, {kind: 'ticket-end', key, nonce, end});
  }

  function handleEndKept(nonce: string, known: boolean): void {
    const pendingEnd = pendingEnds.get(nonce);
    if (!pendingEnd) {
      return;
    }
    pendingEnds.delete(nonce);
    emitEnded(pendingEnd, known);
  }

  function emitEnded(pendingEnd: PendingEnd, recorded: boolean): void {
    if (pendingEnd.correlationId !== undefined) {
      emit({kind: 'ended', correlationId: pendingEnd.correlationId, recorded});
    }
  }

  /** The minting VM does not answer, so this VM writes the record itself. */
  function abandonEnd(pendingEnd: PendingEnd, time: StepTime): void {
    pendingEnds.delete(pendingEnd.nonce);
    emitEnded(pendingEnd, false);
    if (pendingEnd.record) {
      const key = claimStoreKey(pendingEnd.key);
      deferredWrites.add(
        {key, record: pendingEnd.record, operation: {kind: 'create'}},
        time.nowMs,
      );
    }
  }

  function decideFromStore(
    request: Pick<ClaimRequest, 'key' | 'fingerprint' | 'firstAttempt'>,
    onDecision: (decision: ClaimDecision) => void,
  ): void {
    const key = claimStoreKey(request.key);
    store.call({kind: 'read', key}, result =>
      onDecision(decideFromRecord(request, result)),
    );
  }

  function tick(time: StepTime): void {
    for (const pending of [...pendingBegins.values()]) {
      if (time.nowMs < pending.nextSendMs) {
        continue;
      }
      if (
        pending.attempts >= MAXIMUM_BEGIN_ATTEMPTS ||
        time.nowMs >= pending.deadlineAtMs
      ) {
        abandonBegin(pending, time);
      } else {
        sendBegin(pending, time);
      }
    }
    for (const pendingEnd of [...pendingEnds.values()]) {
      if (time.nowMs < pendingEnd.nextSendMs) {
        continue;
      }
      if (pendingEnd.attempts >= MAXIMUM_END_ATTEMPTS) {
        abandonEnd(pendingEnd, time);
      } else {
        sendEnd(pendingEnd, time);
      }
    }
  }

  return {
    begin,
    end: (correlationId, token, end, time) => {
      const pending = running.get(token);
      if (!pending) {
        return false;
      }
      running.delete(token);
      reportEnd(pending, end, correlationId, time);
      return true;
    },
    handleDecision,
    handleEndKept,
    decideFromStore,
    tick,
  };
}

function unavailable(firstAttempt: boolean | undefined): ClaimDecision {
  return {
    kind: 'unavailable',
    retryAfterMs: RETRY_AFTER_MS,
    outcome: firstAttempt ? 'not-run' : 'unknown',
  };
}

function decideFromRecord(
  request: Pick<ClaimRequest, 'fingerprint' | 'firstAttempt'>,
  result: ClaimStoreResult,
): ClaimDecision {
  switch (result.kind) {
    case 'found': {
      const parsed = claimRecordSchema.safeParse(result.value);
      if (!parsed.success || parsed.data.end?.kind !== 'answered') {
        return {kind: 'outcome-unknown'};
      }
      return parsed.data.fingerprint === request.fingerprint
        ? {kind: 'replay', answer: parsed.data.end.answer}
        : {kind: 'key-reused'};
    }
    case 'not-found':
      // The minting VM may have granted the claim and ended before it wrote the
      // record.
      return {kind: 'outcome-unknown'};
    default:
      return unavailable(request.firstAttempt);
  }
}
