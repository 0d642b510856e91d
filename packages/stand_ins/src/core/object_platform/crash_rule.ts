/**
 * The users' rule for a request that crashes every target that runs it, as a
 * check over where it arrived.
 */

export interface CrashingArrival {
  readonly target: string;
  /** When the VM sent the request to the target. */
  readonly atMs: number;
  /** When the request ended the target; undefined if it did not. */
  readonly crashedAtMs: number | undefined;
}

export interface CrashViolation {
  readonly targetsCrashed: number;
  /** Arrivals later than the stable window after the third crash. */
  readonly lateArrivals: number;
}

/** The rule binds VMs from this time after the third crash. */
export const CRASH_KNOWN_MS = 3_000;
const CRASHES_UNTIL_KNOWN = 3;
const ALLOWED_LATE_ARRIVALS = 3;

/** Returns what was seen if the request reached targets more than three times. */
export function findCrashViolation(
  arrivals: readonly CrashingArrival[],
): CrashViolation | undefined {
  const crashedAtMs = thirdCrashMs(arrivals);
  if (crashedAtMs === undefined) {
    return undefined;
  }
  const lateArrivals = arrivals.filter(
    ({atMs}) => atMs > crashedAtMs + CRASH_KNOWN_MS,
  ).length;
  return lateArrivals > ALLOWED_LATE_ARRIVALS
    ? {targetsCrashed: crashTimes(arrivals).length, lateArrivals}
    : undefined;
}

/** When the third target ended; undefined if fewer did. */
export function thirdCrashMs(
  arrivals: readonly CrashingArrival[],
): number | undefined {
  return crashTimes(arrivals)[CRASHES_UNTIL_KNOWN - 1];
}

/** Times of the crashes in order, one for each target. */
function crashTimes(arrivals: readonly CrashingArrival[]): readonly number[] {
  const times = new Map<string, number>();
  for (const {target, crashedAtMs} of arrivals) {
    if (crashedAtMs !== undefined) {
      times.set(target, crashedAtMs);
    }
  }
  return [...times.values()].sort((a, b) => a - b);
}
