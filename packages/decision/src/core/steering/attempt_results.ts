/** Handles the progress and the results of attempts. */
import {assertNever} from '../model/index.js';
import type {AttemptResult, RefusalReason} from '../model/index.js';
import {recordResponse, recordFailure, recordShed} from '../routing/index.js';
import {serveQueue} from './admissions.js';
import {releaseAttempt} from './attempts.js';
import {type Pool, ejectIfOutlier} from './pool.js';
import {closeRequest, refuseRequest, removeRequestIfDone} from './refusals.js';
import type {AttemptState, RequestState} from './requests.js';
import {retryRequest} from './retrying.js';
import {type SteeringState, findTarget, getRetryBudget} from './state.js';
import {recordSuspectedCrash} from './crash_reports.js';

const SERVER_ERROR_STATUS = 500;
/** How long a peer is avoided after it has refused or failed a relay. */
const AVOID_PEER_MS = 500;
/** Weight of a new sample in the moving average of the service time. */
const SERVICE_TIME_SMOOTHING = 0.05;

/** The first attempt to answer wins; the others are cancelled. */
export function handleAttemptAnswering(
  state: SteeringState,
  request: RequestState,
  attempt: AttemptState,
  contentLength: number | undefined,
): void {
  attempt.answering = true;
  for (const other of request.attempts.values()) {
    if (other !== attempt && !other.cancelling) {
      other.cancelling = true;
      state.context.emit({
        kind: 'cancel-attempt',
        request: request.metadata.id,
        attempt: other.number,
      });
    }
  }
  debitLink(state, request, attempt, contentLength);
}

/** Debits the region link for a response that is longer than expected. */
function debitLink(
  state: SteeringState,
  request: RequestState,
  attempt: AttemptState,
  contentLength: number | undefined,
): void {
  const {relayedFrom, expectedResponseBytes} = request.metadata;
  const crossesRegions =
    relayedFrom !== undefined && relayedFrom.region !== state.context.region;
  if (!crossesRegions || contentLength === undefined) {
    return;
  }
  const excessBytes = contentLength - (expectedResponseBytes ?? 0);
  if (attempt.linkBytesPerSecond === 0 && excessBytes > 0) {
    const {nowMs} = state.context.time();
    state.links.debit(relayedFrom.region, excessBytes, nowMs);
  }
}

export function handleAttemptFinished(
  state: SteeringState,
  request: RequestState,
  attempt: AttemptState,
  result: AttemptResult,
): void {
  request.attempts.delete(attempt.number);
  const pool = state.pools.get(request.metadata.service);
  const ran = mayHaveRun(attempt, result);
  releaseAttempt(state, pool, request, attempt, ran && !isAnswered(result));
  if (attempt.destination.kind === 'target') {
    recordTargetResult(state, request, attempt, result);
  } else {
    recordPeerResult(state, request, attempt, result);
  }
  if (request.closed) {
    removeRequestIfDone(state, request);
  } else {
    retryOrConclude(state, request, attempt, result, ran);
  }
  if (pool) {
    serveQueue(state, pool);
  }
}

function isAnswered(result: AttemptResult): boolean {
  return result.kind === 'answered';
}

/** Whether the target may have run the request, or may still be running it. */
function mayHaveRun(attempt: AttemptState, result: AttemptResult): boolean {
  switch (result.kind) {
    case 'answered':
    case 'broken':
      return true;
    case 'shed':
    case 'not-sent':
      return false;
    case 'timed-out':
      return attempt.sent;
    case 'cancelled':
      return result.sent;
    default:
      return assertNever(result);
  }
}

function recordTargetResult(
  state: SteeringState,
  request: RequestState,
  attempt: AttemptState,
  result: AttemptResult,
): void {
  const {destination} = attempt;
  const found =
    destination.kind === 'target'
      ? findTarget(state, destination.target)
      : undefined;
  if (!found) {
    return;
  }
  const {pool, record} = found;
  const {context} = state;
  const {nowMs} = context.time();
  switch (result.kind) {
    case 'answered':
      state.crashSuspicions.recordSurvival(record.target.id, attempt.startedMs);
      state.crashSuspicions.recordResponse(request.metadata.fingerprint);
      if (result.status >= SERVER_ERROR_STATUS) {
        recordFailure(record, nowMs);
        ejectIfOutlier(pool, record, `status ${result.status}`, context);
        return;
      }
      recordLatency(pool, nowMs - attempt.startedMs);
      recordResponse(record, nowMs - attempt.startedMs, nowMs);
      return;
    case 'shed':
      recordShed(record, nowMs);
      return;
    case 'broken':
      if (!recordSuspectedCrash(state, request, record.target.id)) {
        recordFailure(record, nowMs);
        ejectIfOutlier(pool, record, result.cause, context);
      }
      return;
    case 'not-sent':
      recordFailure(record, nowMs);
      ejectIfOutlier(pool, record, result.cause, context);
      return;
    case 'timed-out':
      recordFailure(record, nowMs);
      ejectIfOutlier(
        pool,
        record,
        `timed out after ${Math.round(nowMs - attempt.startedMs)} ms`,
        context,
      );
      return;
    case 'cancelled':
      return;
    default:
      assertNever(result);
  }
}

function recordLatency(pool: Pool, latencyMs: number): void {
  pool.latencies.add(latencyMs);
  pool.serviceTimeMs +=
    SERVICE_TIME_SMOOTHING * (latencyMs - pool.serviceTimeMs);
}

function recordPeerResult(
  state: SteeringState,
  request: RequestState,
  attempt: AttemptState,
  result: AttemptResult,
): void {
  const {destination} = attempt;
  if (destination.kind !== 'relay') {
    return;
  }
  const untilMs = state.context.time().nowMs + AVOID_PEER_MS;
  switch (result.kind) {
    case 'shed':
    case 'not-sent':
    case 'broken':
    case 'timed-out':
      state.peerLoads.avoidUntil(
        destination.vm,
        request.metadata.service,
        untilMs,
      );
      return;
    case 'answered':
      state.crashSuspicions.recordResponse(request.metadata.fingerprint);
      return;
    case 'cancelled':
      return;
    default:
      assertNever(result);
  }
}

function retryOrConclude(
  state: SteeringState,
  request: RequestState,
  attempt: AttemptState,
  result: AttemptResult,
  ran: boolean,
): void {
  if (result.kind === 'answered') {
    creditRetryBudget(state, request, attempt, result.status);
    closeRequest(state, request);
    return;
  }
  request.mayHaveRun ||= ran;
  if (request.attempts.size > 0) {
    return;
  }
  if (attempt.answering) {
    refuseRequest(state, request, 'target-failed');
    return;
  }
  const safeToRetry = request.metadata.idempotent || !request.mayHaveRun;
  if (
    result.kind !== 'cancelled' &&
    safeToRetry &&
    retryRequest(state, request, result)
  ) {
    return;
  }
  const {reason, retryAfterMs} = refusalFor(state, request, result);
  refuseRequest(state, request, reason, retryAfterMs);
}

/**
 * Credits the retry budget for a success. A relayed request is counted on both
 * VMs, so each one credits half.
 */
function creditRetryBudget(
  state: SteeringState,
  request: RequestState,
  attempt: AttemptState,
  status: number,
): void {
  if (status >= SERVER_ERROR_STATUS) {
    return;
  }
  const {metadata, policy} = request;
  const relayed =
    metadata.relayedFrom !== undefined || attempt.destination.kind === 'relay';
  const budget = getRetryBudget(
    state,
    metadata.workspace,
    metadata.service,
    policy,
  );
  budget.recordSuccess(relayed ? 0.5 : 1);
}

const RETRY_AFTER_FAILURE_MS = 1_000;
const RETRY_AFTER_SHED_MS = 250;

function refusalFor(
  state: SteeringState,
  request: RequestState,
  result: AttemptResult,
): {readonly reason: RefusalReason; readonly retryAfterMs?: number} {
  const {nowMs} = state.context.time();
  const suspicion = state.crashSuspicions.stateOf(
    request.metadata.fingerprint,
    nowMs,
  );
  if (suspicion === 'quarantined') {
    const untilMs = state.crashSuspicions.suspectedUntilMs(
      request.metadata.fingerprint,
    );
    return {reason: 'request-quarantined', retryAfterMs: untilMs - nowMs};
  }
  if (nowMs >= request.metadata.deadlineMs) {
    return {reason: 'deadline-expired'};
  }
  if (result.kind === 'shed') {
    const isRemote = request.region !== state.context.region;
    return {
      reason: isRemote ? 'no-healthy-target' : 'region-full',
      retryAfterMs: result.retryAfterMs ?? RETRY_AFTER_SHED_MS,
    };
  }
  return {reason: 'target-failed', retryAfterMs: RETRY_AFTER_FAILURE_MS};
}
