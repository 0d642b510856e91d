/**
 * The users' rule for a request that crashes every target that runs it, as a
 * check over where it arrived.
 */

export interface CrashingArrival {
  /** When the VM sent the request to the target. */
  readonly atMs: number;
  readonly crashed: boolean;
}

export interface CrashViolation {
  readonly targetsCrashed: number;
  /** Arrivals later than the stable window after the third crash. */
  readonly lateArrivals: number;
}

/** The rule binds VMs from this time after the third crash. */
const STABLE_WINDOW_MS = 3_000;
const CRASHES_UNTIL_KNOWN = 3;
const ALLOWED_LATE_ARRIVALS = 3;

/** Returns what was seen if the request reached targets more than three times. */
export function findCrashViolation(
  arrivals: readonly CrashingArrival[],
): CrashViolation | undefined {
  const crashes = arrivals
    .filter(({crashed}) => crashed)
    .map(({atMs}) => atMs)
    .sort((a, b) => a - b);
  const thirdCrashMs = crashes[CRASHES_UNTIL_KNOWN - 1];
  if (thirdCrashMs === undefined) {
    return undefined;
  }
  const lateArrivals = arrivals.filter(
    ({atMs}) => atMs > thirdCrashMs + STABLE_WINDOW_MS,
  ).length;
  return lateArrivals > ALLOWED_LATE_ARRIVALS
    ? {targetsCrashed: crashes.length, lateArrivals}
    : undefined;
}
