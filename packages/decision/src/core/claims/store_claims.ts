/**
 * Claims on keys chosen by the caller. A claim is made by a conditional create
 * in the store before the first byte is sent to a target.
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

/** Maximum number of store calls to decide one request. */
const MAXIMUM_STORE_CALLS = 6;
/**
 * Wait after a claim's deadline before its outcome counts as unknown. Covers
 * clock differences of up to a second and a holder that records the end late.
 */
export const DEADLINE_MARGIN_MS = 3_000;
const RETRY_AFTER_MS = 1_000;
/** Time after the deadline until a claim without an end becomes `unknown`. */
const MISSING_END_TIMEOUT_MS = 30_000;

interface Claim {
  readonly correlationId: number;
  readonly request: ClaimRequest;
  readonly key: string;
  readonly record: ClaimRecord;
  calls: number;
  /** Whether an unanswered write of this claim may have taken effect. */
  mayHaveWritten: boolean;
  /** Store version of the claim; set while this VM holds it. */
  heldVersion?: number;
}

type CurrentObject = {readonly version: number; readonly value: unknown};

export interface StoreClaims {
  begin(correlationId: number, request: ClaimRequest, time: StepTime): void;
  /** Returns false if this VM holds no claim with this token. */
  end(
    correlationId: number,
    token: string,
    end: ClaimEnd,
    time: StepTime,
  ): boolean;
  tick(time: StepTime): void;
  heldCount(): number;
}

export interface StoreClaimsDependencies {
  readonly options: ClaimsOptions;
  readonly store: StoreAccess;
  readonly deferredWrites: DeferredWrites;
  readonly recentEnds: RecentEnds;
  readonly emit: (action: ClaimsAction) => void;
  readonly view: () => MembershipView | undefined;
  readonly time: () => StepTime;
}

export function createStoreClaims(
  dependencies: StoreClaimsDependencies,
): StoreClaims {
  const {options, store, deferredWrites, recentEnds, emit} = dependencies;
  /** Claims that are being made or are held, by store key. */
  const active = new Map<string, Claim>();
  /** Store keys of held claims, by nonce. */
  const keyByToken = new Map<string, string>();
  /** Nonces of claims given up before a request was sent under them. */
  const givenUpNonces = new Set<string>();
  let lastNonce = 0;

  function decide(claim: Claim, decision: ClaimDecision): void {
    if (decision.kind !== 'run') {
      active.delete(claim.key);
    }
    emit({kind: 'decide', correlationId: claim.correlationId, decision});
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
    const recentEnd = recentEnds.get(key);
    if (recentEnd && recentEnd.end.kind !== 'not-run') {
      return decisionForEnd(recentEnd.fingerprint, recentEnd.end, request);
    }
    const backoffMs = store.backoffMs(time.nowMs);
    return backoffMs > 0 ? unavailable(request, backoffMs) : undefined;
  }

  function begin(
    correlationId: number,
    request: ClaimRequest,
    time: StepTime,
  ): void {
    const key = claimStoreKey(request.key);
    const local = decideLocally(key, request, time);
    if (local) {
      emit({kind: 'decide', correlationId, decision: local});
      return;
    }
    lastNonce += 1;
    const claim: Claim = {
      correlationId,
      request,
      key,
      calls: 0,
      mayHaveWritten: false,
      record: {
        fingerprint: request.fingerprint,
        vm: options.vm,
        incarnation: options.incarnation,
        nonce: `${options.incarnation}.${options.epoch}.${lastNonce}`,
        claimedAtWallMs: time.wallMs,
        deadlineWallMs: time.wallMs + request.remainingMs,
      },
    };
    active.set(key, claim);
    create(claim);
  }

  function reserveCall(claim: Claim): boolean {
    claim.calls += 1;
    if (claim.calls <= MAXIMUM_STORE_CALLS) {
      return true;
    }
    giveUp(claim, RETRY_AFTER_MS);
    return false;
  }

  function create(claim: Claim): void {
    if (!reserveCall(claim)) {
      return;
    }
    const {key, record} = claim;
    store.call({kind: 'create', key, record}, result =>
      handleWriteResult(claim, result),
    );
  }

  function readBack(claim: Claim): void {
    if (!reserveCall(claim)) {
      return;
    }
    store.call({kind: 'read', key: claim.key}, result =>
      handleReadResult(claim, result),
    );
  }

  function takeOver(claim: Claim, expected: number): void {
    if (!reserveCall(claim)) {
      return;
    }
    const {key, record} = claim;
    store.call({kind: 'update', key, expected, record}, result =>
      handleWriteResult(claim, result),
    );
  }

  function handleWriteResult(claim: Claim, result: ClaimStoreResult): void {
    switch (result.kind) {
      case 'written':
        hold(claim, result.version);
        return;
      case 'conflict':
        if (result.current) {
          decideFromStored(claim, result.current);
        } else {
          readBack(claim);
        }
        return;
      case 'lost-answer':
        claim.mayHaveWritten = true;
        readBack(claim);
        return;
      case 'unavailable':
        giveUp(claim, result.retryAfterMs ?? RETRY_AFTER_MS);
        return;
      case 'found':
      case 'not-found':
        // The claim to be taken over has been deleted as expired.
        create(claim);
        return;
    }
  }

  function handleReadResult(claim: Claim, result: ClaimStoreResult): void {
    switch (result.kind) {
      case 'found':
        decideFromStored(claim, result);
        return;
      case 'not-found':
        // If the first create takes effect late after all, one of the two
        // conflicts. Both carry the same nonce, so either holds the claim.
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

  /**
   * No request was or will be sent under this nonce. If a write may have taken
   * effect, a deferred write marks the claim as not run.
   */
  function giveUp(claim: Claim, retryAfterMs: number): void {
    if (claim.mayHaveWritten) {
      givenUpNonces.add(claim.record.nonce);
      const record: ClaimRecord = {...claim.record, end: {kind: 'not-run'}};
      deferredWrites.add(
        {
          key: claim.key,
          record,
          operation: {kind: 'resolve'},
          onDone: () => givenUpNonces.delete(claim.record.nonce),
        },
        dependencies.time().nowMs,
      );
    }
    decide(claim, unavailable(claim.request, retryAfterMs));
  }

  function hold(claim: Claim, version: number): void {
    claim.heldVersion = version;
    keyByToken.set(claim.record.nonce, claim.key);
    recentEnds.delete(claim.key);
    decide(claim, {kind: 'run', token: claim.record.nonce});
  }

  function decideFromStored(claim: Claim, current: CurrentObject): void {
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
    if (record.end?.kind === 'not-run' || givenUpNonces.has(record.nonce)) {
      takeOver(claim, current.version);
      return;
    }
    if (record.end) {
      decide(
        claim,
        decisionForEnd(record.fingerprint, record.end, claim.request),
      );
      return;
    }
    decide(claim, decisionForOpenClaim(record));
  }

  /** The stored claim has no end: its holder still runs it or has died. */
  function decisionForOpenClaim(record: ClaimRecord): ClaimDecision {
    const remainingMs =
      record.deadlineWallMs + DEADLINE_MARGIN_MS - dependencies.time().wallMs;
    if (remainingMs <= 0 || holderIsGone(record)) {
      return {kind: 'outcome-unknown'};
    }
    const retryAfterMs = Math.min(remainingMs, RETRY_AFTER_MS);
    return {kind: 'in-progress', retryAfterMs};
  }

  function holderIsGone(record: ClaimRecord): boolean {
    if (record.vm === options.vm) {
      return record.incarnation !== options.incarnation;
    }
    const holder = dependencies.view()?.vms.get(record.vm);
    return holder?.state === 'gone';
  }

  function end(
    correlationId: number,
    token: string,
    claimEnd: ClaimEnd,
    time: StepTime,
  ): boolean {
    const key = keyByToken.get(token);
    const claim = key === undefined ? undefined : active.get(key);
    if (!claim || claim.heldVersion === undefined) {
      return false;
    }
    const recordedEnd = omitLongBody(claimEnd, options.maximumRecordedBytes);
    release(claim);
    const {fingerprint} = claim.record;
    recentEnds.set(claim.key, {fingerprint, end: recordedEnd});
    deferredWrites.add(
      {
        key: claim.key,
        record: {...claim.record, end: recordedEnd},
        operation: {kind: 'update', expected: claim.heldVersion},
        onFirstAttempt: recorded =>
          emit({kind: 'ended', correlationId, recorded}),
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

  /** Ends held claims as `unknown` after `MISSING_END_TIMEOUT_MS`. */
  function tick(time: StepTime): void {
    for (const claim of [...active.values()]) {
      const overdueMs = time.wallMs - claim.record.deadlineWallMs;
      if (
        claim.heldVersion !== undefined &&
        overdueMs > MISSING_END_TIMEOUT_MS
      ) {
        end(claim.correlationId, claim.record.nonce, {kind: 'unknown'}, time);
      }
    }
  }

  return {begin, end, tick, heldCount: () => keyByToken.size};
}

function decisionForEnd(
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
