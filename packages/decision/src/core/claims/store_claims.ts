/**
 * Claims on keys of the caller's own, fenced by a conditional create in the
 * store before the first byte is sent.
 */
import type {MembershipView} from '../model/index.js';
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
import type {RecentEnds} from './recent_ends.js';
import type {StoreAccess} from './store_access.js';
import type {ClaimDecision, ClaimEnd, ClaimRequest} from './types.js';

/** Calls that one decision may cost. */
const MAXIMUM_CALLS = 6;
/** Clocks agree within a second; a holder may finish writing a little late. */
export const DEADLINE_MARGIN_MS = 3_000;
const RETRY_AFTER_MS = 1_000;
/** A holder that says nothing for so long after its deadline will not. */
const FORGOTTEN_AFTER_MS = 30_000;

interface Claim {
  readonly question: number;
  readonly request: ClaimRequest;
  readonly key: string;
  readonly record: ClaimRecord;
  calls: number;
  /** Whether a write of ours may have taken effect without an answer. */
  doubtful: boolean;
  /** Set while this VM holds the claim. */
  heldVersion?: number;
}

type CurrentObject = {readonly version: number; readonly value: unknown};

export interface StoreClaims {
  begin(question: number, request: ClaimRequest, time: StepTime): void;
  /** False when no such claim is held. */
  end(question: number, token: string, end: ClaimEnd, time: StepTime): boolean;
  tick(time: StepTime): void;
  held(): number;
}

export interface StoreClaimsParts {
  readonly options: ClaimsOptions;
  readonly store: StoreAccess;
  readonly late: DeferredWrites;
  readonly recent: RecentEnds;
  readonly emit: (action: ClaimsAction) => void;
  readonly view: () => MembershipView | undefined;
  readonly time: () => StepTime;
}

export function createStoreClaims(parts: StoreClaimsParts): StoreClaims {
  const {options, store, late, recent, emit} = parts;
  /** Claims being made or held, by store key. */
  const active = new Map<string, Claim>();
  /** Keys by the nonce under which this VM holds them. */
  const keyByToken = new Map<string, string>();
  /** Nonces that this VM gave up before it sent anything under them. */
  const abandoned = new Set<string>();
  let lastNonce = 0;

  function decide(claim: Claim, decision: ClaimDecision): void {
    if (decision.kind !== 'run') {
      active.delete(claim.key);
    }
    emit({kind: 'decide', correlationId: claim.question, decision});
  }

  function unavailable(
    request: ClaimRequest,
    retryAfterMs: number,
  ): ClaimDecision {
    return {
      kind: 'unavailable',
      retryAfterMs: Math.ceil(Math.max(retryAfterMs, RETRY_AFTER_MS)),
      outcome: request.firstAttempt ? 'not-run' : 'unknown',
    };
  }

  function decideLocally(
    key: string,
    request: ClaimRequest,
    time: StepTime,
  ): ClaimDecision | undefined {
    const running = active.get(key);
    if (running) {
      return running.request.fingerprint === request.fingerprint
        ? {kind: 'in-progress', retryAfterMs: RETRY_AFTER_MS}
        : {kind: 'key-reused'};
    }
    const ended = recent.get(key);
    if (ended && ended.end.kind !== 'not-run') {
      return decisionOfEnd(ended.fingerprint, ended.end, request);
    }
    const distrustMs = store.distrustMs(time.nowMs);
    return distrustMs > 0 ? unavailable(request, distrustMs) : undefined;
  }

  function begin(
    question: number,
    request: ClaimRequest,
    time: StepTime,
  ): void {
    const key = claimStoreKey(request.key);
    const local = decideLocally(key, request, time);
    if (local) {
      emit({kind: 'decide', correlationId: question, decision: local});
      return;
    }
    lastNonce += 1;
    const claim: Claim = {
      question,
      request,
      key,
      calls: 0,
      doubtful: false,
      record: {
        fingerprint: request.fingerprint,
        vm: options.vm,
        incarnation: options.incarnation,
        nonce: `${options.incarnation}.${options.epoch}.${lastNonce}`,
        claimedAtWallMs: time.wallMs,
        deadlineWallMs: time.wallMs + request.deadlineMs,
      },
    };
    active.set(key, claim);
    create(claim);
  }

  function mayCall(claim: Claim): boolean {
    claim.calls += 1;
    if (claim.calls <= MAXIMUM_CALLS) {
      return true;
    }
    giveUp(claim, RETRY_AFTER_MS);
    return false;
  }

  function create(claim: Claim): void {
    if (!mayCall(claim)) {
      return;
    }
    const {key, record} = claim;
    store.call({kind: 'create', key, record}, result =>
      takeWrite(claim, result),
    );
  }

  function readBack(claim: Claim): void {
    if (!mayCall(claim)) {
      return;
    }
    store.call({kind: 'read', key: claim.key}, result =>
      takeRead(claim, result),
    );
  }

  function takeOver(claim: Claim, expected: number): void {
    if (!mayCall(claim)) {
      return;
    }
    const {key, record} = claim;
    store.call({kind: 'update', key, expected, record}, result =>
      takeWrite(claim, result),
    );
  }

  function takeWrite(claim: Claim, result: ClaimStoreResult): void {
    switch (result.kind) {
      case 'written':
        hold(claim, result.version);
        return;
      case 'conflict':
        if (result.current) {
          examine(claim, result.current);
        } else {
          readBack(claim);
        }
        return;
      case 'lost-answer':
        claim.doubtful = true;
        readBack(claim);
        return;
      case 'unavailable':
        giveUp(claim, result.retryAfterMs ?? RETRY_AFTER_MS);
        return;
      case 'found':
      case 'not-found':
        // The claim to be taken over was collected meanwhile.
        create(claim);
        return;
    }
  }

  function takeRead(claim: Claim, result: ClaimStoreResult): void {
    switch (result.kind) {
      case 'found':
        examine(claim, result);
        return;
      case 'not-found':
        // If the first create comes late after all, it conflicts with this
        // one or this one with it; the nonce is the same.
        create(claim);
        return;
      case 'lost-answer':
        readBack(claim);
        return;
      case 'unavailable':
        giveUp(claim, result.retryAfterMs ?? RETRY_AFTER_MS);
        return;
      case 'written':
      case 'conflict':
        giveUp(claim, RETRY_AFTER_MS);
        return;
    }
  }

  /** Nothing was sent and nothing will be under this nonce. */
  function giveUp(claim: Claim, retryAfterMs: number): void {
    if (claim.doubtful) {
      abandoned.add(claim.record.nonce);
      const record: ClaimRecord = {...claim.record, end: {kind: 'not-run'}};
      late.add(
        {
          key: claim.key,
          record,
          way: {kind: 'resolve'},
          onDone: () => abandoned.delete(claim.record.nonce),
        },
        parts.time().nowMs,
      );
    }
    decide(claim, unavailable(claim.request, retryAfterMs));
  }

  function hold(claim: Claim, version: number): void {
    claim.heldVersion = version;
    keyByToken.set(claim.record.nonce, claim.key);
    recent.delete(claim.key);
    decide(claim, {kind: 'run', token: claim.record.nonce});
  }

  function examine(claim: Claim, current: CurrentObject): void {
    const parsed = claimRecordSchema.safeParse(current.value);
    if (!parsed.success) {
      decide(claim, {kind: 'outcome-unknown'});
      return;
    }
    const record = parsed.data;
    if (record.nonce === claim.record.nonce && !record.end) {
      hold(claim, current.version);
      return;
    }
    if (record.fingerprint !== claim.request.fingerprint) {
      decide(claim, {kind: 'key-reused'});
      return;
    }
    if (record.end?.kind === 'not-run' || abandoned.has(record.nonce)) {
      takeOver(claim, current.version);
      return;
    }
    if (record.end) {
      decide(
        claim,
        decisionOfEnd(record.fingerprint, record.end, claim.request),
      );
      return;
    }
    decide(claim, decisionOfOpen(record));
  }

  /** Of a claim that somebody holds, or held when it died. */
  function decisionOfOpen(record: ClaimRecord): ClaimDecision {
    const leftMs =
      record.deadlineWallMs + DEADLINE_MARGIN_MS - parts.time().wallMs;
    if (leftMs <= 0 || holderIsGone(record)) {
      return {kind: 'outcome-unknown'};
    }
    const retryAfterMs = Math.min(leftMs, RETRY_AFTER_MS);
    return {kind: 'in-progress', retryAfterMs};
  }

  function holderIsGone(record: ClaimRecord): boolean {
    if (record.vm === options.vm) {
      return record.incarnation !== options.incarnation;
    }
    const holder = parts.view()?.vms.get(record.vm);
    return holder?.state === 'gone';
  }

  function end(
    question: number,
    token: string,
    ended: ClaimEnd,
    time: StepTime,
  ): boolean {
    const key = keyByToken.get(token);
    const claim = key === undefined ? undefined : active.get(key);
    if (!claim || claim.heldVersion === undefined) {
      return false;
    }
    const kept = omitLongBody(ended, options.maximumRecordedBytes);
    release(claim);
    const {fingerprint} = claim.record;
    recent.set(claim.key, {fingerprint, end: kept});
    late.add(
      {
        key: claim.key,
        record: {...claim.record, end: kept},
        way: {kind: 'update', expected: claim.heldVersion},
        onFirst: recorded =>
          emit({kind: 'ended', correlationId: question, recorded}),
      },
      time.nowMs,
    );
    return true;
  }

  function release(claim: Claim): void {
    keyByToken.delete(claim.record.nonce);
    if (active.get(claim.key) === claim) {
      active.delete(claim.key);
    }
  }

  /** Ends claims whose holder never came back, as unknown. */
  function tick(time: StepTime): void {
    for (const claim of [...active.values()]) {
      const overdueMs = time.wallMs - claim.record.deadlineWallMs;
      if (claim.heldVersion !== undefined && overdueMs > FORGOTTEN_AFTER_MS) {
        end(claim.question, claim.record.nonce, {kind: 'unknown'}, time);
      }
    }
  }

  return {begin, end, tick, held: () => keyByToken.size};
}

function decisionOfEnd(
  fingerprint: string,
  end: ClaimEnd,
  request: ClaimRequest,
): ClaimDecision {
  if (fingerprint !== request.fingerprint) {
    return {kind: 'key-reused'};
  }
  return end.kind === 'answered'
    ? {kind: 'replay', answer: end.answer}
    : {kind: 'outcome-unknown'};
}
