/**
 * Operations under tickets that another VM minted: this VM asks the minter,
 * runs the operation if told to, and reports its end to the minter.
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

const ASK_AGAIN_MS = 400;
const MAXIMUM_BEGIN_TRIES = 3;
const MAXIMUM_END_TRIES = 20;
const RETRY_AFTER_MS = 2_000;

interface BeginAsk {
  readonly question: number;
  readonly request: ClaimRequest;
  readonly ticket: Ticket;
  readonly nonce: string;
  readonly endsAtMs: number;
  tries: number;
  nextMs: number;
}

interface EndAsk {
  readonly question?: number;
  readonly to: Ticket['vm'];
  readonly key: ClaimKey;
  readonly nonce: string;
  readonly end: ClaimEnd;
  readonly record?: ClaimRecord;
  tries: number;
  nextMs: number;
}

export interface RemoteTickets {
  begin(
    question: number,
    request: ClaimRequest,
    ticket: Ticket,
    time: StepTime,
  ): void;
  /** False when no such operation runs here. */
  end(question: number, token: string, end: ClaimEnd, time: StepTime): boolean;
  takeDecision(nonce: string, decision: ClaimDecision): void;
  takeEndKept(nonce: string, known: boolean): void;
  /** Decides by the record in the store, and never lets run. */
  lookInStore(
    request: Pick<ClaimRequest, 'key' | 'fingerprint' | 'firstAttempt'>,
    then: (decision: ClaimDecision) => void,
  ): void;
  tick(time: StepTime): void;
}

export interface RemoteTicketsParts {
  readonly options: ClaimsOptions;
  readonly store: StoreAccess;
  readonly late: DeferredWrites;
  readonly emit: (action: ClaimsAction) => void;
  readonly isGone: (ticket: Ticket) => boolean;
}

export function createRemoteTickets(parts: RemoteTicketsParts): RemoteTickets {
  const {options, store, late, emit} = parts;
  const begins = new Map<string, BeginAsk>();
  const running = new Map<string, BeginAsk>();
  const ends = new Map<string, EndAsk>();
  let lastAsk = 0;

  function send(to: Ticket['vm'], message: ClaimPeerMessage): void {
    emit({kind: 'send', to, message});
  }

  function begin(
    question: number,
    request: ClaimRequest,
    ticket: Ticket,
    time: StepTime,
  ): void {
    if (parts.isGone(ticket)) {
      lookInStore(request, decision =>
        emit({kind: 'decide', correlationId: question, decision}),
      );
      return;
    }
    lastAsk += 1;
    const ask: BeginAsk = {
      question,
      request,
      ticket,
      nonce: `${options.vm}.${options.incarnation}.${options.epoch}.r${lastAsk}`,
      endsAtMs: time.nowMs + request.deadlineMs,
      tries: 0,
      nextMs: 0,
    };
    begins.set(ask.nonce, ask);
    sendBegin(ask, time);
  }

  function sendBegin(ask: BeginAsk, time: StepTime): void {
    ask.tries += 1;
    ask.nextMs = time.nowMs + ASK_AGAIN_MS;
    send(ask.ticket.vm, {
      kind: 'ticket-begin',
      key: ask.request.key,
      fingerprint: ask.request.fingerprint,
      nonce: ask.nonce,
      deadlineMs: Math.max(0, ask.endsAtMs - time.nowMs),
    });
  }

  function takeDecision(nonce: string, decision: ClaimDecision): void {
    const ask = begins.get(nonce);
    if (!ask) {
      return;
    }
    begins.delete(nonce);
    if (decision.kind === 'run') {
      running.set(ask.nonce, ask);
      const {question} = ask;
      emit({
        kind: 'decide',
        correlationId: question,
        decision: {...decision, token: ask.nonce},
      });
      return;
    }
    emit({kind: 'decide', correlationId: ask.question, decision});
  }

  /** The minter may have let it run: it is told that it did not. */
  function giveUpBegin(ask: BeginAsk, time: StepTime): void {
    begins.delete(ask.nonce);
    startEnd(ask, {kind: 'not-run'}, undefined, time);
    if (parts.isGone(ask.ticket)) {
      lookInStore(ask.request, decision =>
        emit({kind: 'decide', correlationId: ask.question, decision}),
      );
      return;
    }
    emit({
      kind: 'decide',
      correlationId: ask.question,
      decision: unavailable(ask.request.firstAttempt),
    });
  }

  function startEnd(
    ask: BeginAsk,
    end: ClaimEnd,
    question: number | undefined,
    time: StepTime,
  ): void {
    const kept = omitLongBody(end, options.maximumRecordedBytes);
    const ending: EndAsk = {
      question,
      to: ask.ticket.vm,
      key: ask.request.key,
      nonce: ask.nonce,
      end: kept,
      record: kept.kind === 'not-run' ? undefined : recordOf(ask, kept, time),
      tries: 0,
      nextMs: 0,
    };
    ends.set(ask.nonce, ending);
    sendEnd(ending, time);
  }

  function recordOf(ask: BeginAsk, end: ClaimEnd, time: StepTime): ClaimRecord {
    return {
      fingerprint: ask.request.fingerprint,
      vm: options.vm,
      incarnation: options.incarnation,
      nonce: ask.nonce,
      claimedAtWallMs: time.wallMs,
      deadlineWallMs: time.wallMs,
      end,
    };
  }

  function sendEnd(ending: EndAsk, time: StepTime): void {
    ending.tries += 1;
    ending.nextMs = time.nowMs + ASK_AGAIN_MS * ending.tries;
    const {key, nonce, end} = ending;
    send(ending.to, {kind: 'ticket-end', key, nonce, end});
  }

  function takeEndKept(nonce: string, known: boolean): void {
    const ending = ends.get(nonce);
    if (!ending) {
      return;
    }
    ends.delete(nonce);
    reportEnd(ending, known);
  }

  function reportEnd(ending: EndAsk, recorded: boolean): void {
    if (ending.question !== undefined) {
      emit({kind: 'ended', correlationId: ending.question, recorded});
    }
  }

  /** The minter does not answer: the record goes to the store from here. */
  function giveUpEnd(ending: EndAsk, time: StepTime): void {
    ends.delete(ending.nonce);
    reportEnd(ending, false);
    if (ending.record) {
      const key = claimStoreKey(ending.key);
      late.add({key, record: ending.record, way: {kind: 'create'}}, time.nowMs);
    }
  }

  function lookInStore(
    request: Pick<ClaimRequest, 'key' | 'fingerprint' | 'firstAttempt'>,
    then: (decision: ClaimDecision) => void,
  ): void {
    const key = claimStoreKey(request.key);
    store.call({kind: 'read', key}, result =>
      then(decideByRecord(request, result)),
    );
  }

  function tick(time: StepTime): void {
    for (const ask of [...begins.values()]) {
      if (time.nowMs < ask.nextMs) {
        continue;
      }
      if (ask.tries >= MAXIMUM_BEGIN_TRIES || time.nowMs >= ask.endsAtMs) {
        giveUpBegin(ask, time);
      } else {
        sendBegin(ask, time);
      }
    }
    for (const ending of [...ends.values()]) {
      if (time.nowMs < ending.nextMs) {
        continue;
      }
      if (ending.tries >= MAXIMUM_END_TRIES) {
        giveUpEnd(ending, time);
      } else {
        sendEnd(ending, time);
      }
    }
  }

  return {
    begin,
    end: (question, token, end, time) => {
      const ask = running.get(token);
      if (!ask) {
        return false;
      }
      running.delete(token);
      startEnd(ask, end, question, time);
      return true;
    },
    takeDecision,
    takeEndKept,
    lookInStore,
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

function decideByRecord(
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
      // Its minter may have let it run and taken the knowledge along.
      return {kind: 'outcome-unknown'};
    default:
      return unavailable(request.firstAttempt);
  }
}
