/** Final answers that are not a target's. */
import type {Outcome, RefusalReason} from '../model/index.js';
import {explainTargets} from './pool.js';
import type {RequestState} from './requests.js';
import type {SteeringState} from './state.js';

const LEAST_RETRY_AFTER_MS = 100;
const MOST_RETRY_AFTER_MS = 30_000;
const MOST_SPREAD_MS = 1_000;

/** Refuses a request, says why, and cancels what still runs for it. */
export function refuse(
  state: SteeringState,
  request: RequestState,
  reason: RefusalReason,
  retryAfterMs?: number,
): void {
  const {context} = state;
  const {id, service} = request.facts;
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
    retryAfterMs: spreadRetry(state, retryAfterMs),
  });
  close(state, request);
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

/** Spreads the callers' next tries over a part of the time more. */
function spreadRetry(
  state: SteeringState,
  retryAfterMs: number | undefined,
): number | undefined {
  if (retryAfterMs === undefined) {
    return undefined;
  }
  const bounded = Math.min(
    MOST_RETRY_AFTER_MS,
    Math.max(LEAST_RETRY_AFTER_MS, retryAfterMs),
  );
  const spreadMs = Math.min(MOST_SPREAD_MS, bounded / 2);
  return Math.ceil(bounded + state.context.random.next() * spreadMs);
}

/** Ends steering's part of a request; running attempts are cancelled. */
export function close(state: SteeringState, request: RequestState): void {
  request.closed = true;
  if (request.queued) {
    request.queued = false;
    state.pools.get(request.facts.service)?.queue.remove(request.facts.id);
  }
  for (const attempt of request.attempts.values()) {
    if (!attempt.cancelling) {
      attempt.cancelling = true;
      state.context.emit({
        kind: 'cancel-attempt',
        request: request.facts.id,
        attempt: attempt.number,
      });
    }
  }
  forgetIfDone(state, request);
}

/** Drops a request once it is answered for and nothing runs for it. */
export function forgetIfDone(
  state: SteeringState,
  request: RequestState,
): void {
  if (request.closed && request.attempts.size === 0) {
    state.requests.delete(request.facts.id);
  }
}
