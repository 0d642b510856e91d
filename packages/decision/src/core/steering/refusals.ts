/** Refusals, and the end of requests. */
import type {Outcome, RefusalReason} from '../model/index.js';
import {explainTargets} from './pool.js';
import type {RequestState} from './requests.js';
import type {SteeringState} from './state.js';

const MINIMUM_RETRY_AFTER_MS = 100;
const MAXIMUM_RETRY_AFTER_MS = 30_000;
const MAXIMUM_RETRY_JITTER_MS = 1_000;

/** Refuses a request, records the reason, and cancels its attempts. */
export function refuseRequest(
  state: SteeringState,
  request: RequestState,
  reason: RefusalReason,
  retryAfterMs?: number,
): void {
  const {context} = state;
  const {id, service} = request.metadata;
  const pool = state.pools.get(service);
  const targets = pool ? explainTargets(pool, request, context) : [];
  context.note({
    kind: 'decision',
    request: id,
    explanation: [`refused: ${reason}`, ...targets],
  });
  context.emit({
    kind: 'refuse',
    request: id,
    reason,
    outcome: outcomeOf(request),
    retryAfterMs: addRetryJitter(state, retryAfterMs),
  });
  closeRequest(state, request);
}

function outcomeOf(request: RequestState): Outcome {
  if (request.mayHaveRun) {
    return 'unknown';
  }
  for (const attempt of request.attempts.values()) {
    if (attempt.sent) {
      return 'unknown';
    }
  }
  return 'not-run';
}

/** Bounds the delay and adds jitter, to spread the retries of many callers. */
function addRetryJitter(
  state: SteeringState,
  retryAfterMs: number | undefined,
): number | undefined {
  if (retryAfterMs === undefined) {
    return undefined;
  }
  const boundedMs = Math.min(
    MAXIMUM_RETRY_AFTER_MS,
    Math.max(MINIMUM_RETRY_AFTER_MS, retryAfterMs),
  );
  const maximumJitterMs = Math.min(MAXIMUM_RETRY_JITTER_MS, boundedMs / 2);
  return Math.ceil(boundedMs + state.context.random.next() * maximumJitterMs);
}

/** Closes a request and cancels its running attempts. */
export function closeRequest(
  state: SteeringState,
  request: RequestState,
): void {
  request.closed = true;
  if (request.queued) {
    request.queued = false;
    state.pools
      .get(request.metadata.service)
      ?.queue.remove(request.metadata.id);
  }
  for (const attempt of request.attempts.values()) {
    if (!attempt.cancelling) {
      attempt.cancelling = true;
      state.context.emit({
        kind: 'cancel-attempt',
        request: request.metadata.id,
        attempt: attempt.number,
      });
    }
  }
  removeRequestIfDone(state, request);
}

/** Removes a request that is closed and has no running attempts. */
export function removeRequestIfDone(
  state: SteeringState,
  request: RequestState,
): void {
  if (request.closed && request.attempts.size === 0) {
    state.requests.delete(request.metadata.id);
  }
}
