/**
 * The users' rule for rate limits that targets state, as a check over what a
 * target observed.
 */

export interface TargetArrival {
  readonly attemptId: string;
  readonly atMs: number;
}

/** The target answered a request while it stated a limit. */
export interface LimitStatement {
  readonly attemptId: string;
  readonly perSecond: number;
  readonly atMs: number;
}

export interface RateLimitObservations {
  readonly arrivals: readonly TargetArrival[];
  readonly statements: readonly LimitStatement[];
  /** VM that sent the request; undefined if its requests don't count. */
  vmOf(attemptId: string, atMs: number): string | undefined;
}

export interface RateLimitViolation {
  readonly fromMs: number;
  readonly arrived: number;
  readonly allowed: number;
}

const WINDOW_MS = 4_000;
const OVERSHOOT_FACTOR = 1.5;
const SLACK_REQUESTS = 5;
/** Requests of a VM count this long after it was told. */
const TOLD_DELAY_MS = 500;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Returns the spans of 4 s, not overlapping, in which the VMs that were told of
 * the limit sent more than one and a half times of it, and five requests.
 */
export function findRateLimitViolations(
  observations: RateLimitObservations,
): readonly RateLimitViolation[] {
  const arrivals = arrivalsFromToldVms(observations);
  const violations: RateLimitViolation[] = [];
  let judgedUntilMs = -Infinity;
  let last = 0;
  for (const [first, {atMs: fromMs}] of arrivals.entries()) {
    last = Math.max(last, first);
    while ((arrivals[last]?.atMs ?? Infinity) < fromMs + WINDOW_MS) {
      last += 1;
    }
    const arrived = last - first;
    const allowed = allowedFrom(observations.statements, fromMs);
    if (fromMs >= judgedUntilMs && arrived > allowed) {
      violations.push({fromMs, arrived, allowed});
      judgedUntilMs = fromMs + WINDOW_MS;
    }
  }
  return violations;
}

function arrivalsFromToldVms(
  observations: RateLimitObservations,
): readonly TargetArrival[] {
  const toldAtMs = new Map<string, number>();
  for (const {attemptId, atMs} of observations.statements) {
    const vm = observations.vmOf(attemptId, atMs);
    if (vm !== undefined && !toldAtMs.has(vm)) {
      toldAtMs.set(vm, atMs);
    }
  }
  return observations.arrivals.filter(({attemptId, atMs}) => {
    const vm = observations.vmOf(attemptId, atMs);
    const toldMs = vm === undefined ? undefined : toldAtMs.get(vm);
    return toldMs !== undefined && atMs >= toldMs + TOLD_DELAY_MS;
  });
}

/** Infinite for a span in which the target stopped stating a limit. */
function allowedFrom(
  statements: readonly LimitStatement[],
  fromMs: number,
): number {
  const toMs = fromMs + WINDOW_MS;
  let largest = 0;
  let isStatedAfter = false;
  let lastBefore = 0;
  for (const {atMs, perSecond} of statements) {
    if (atMs <= fromMs) {
      lastBefore = perSecond;
    } else if (atMs < toMs) {
      largest = Math.max(largest, perSecond);
    } else {
      isStatedAfter = true;
    }
  }
  if (!isStatedAfter) {
    return Infinity;
  }
  const perSecond = Math.max(largest, lastBefore);
  const seconds = WINDOW_MS / MILLISECONDS_PER_SECOND;
  return perSecond * seconds * OVERSHOOT_FACTOR + SLACK_REQUESTS;
}
