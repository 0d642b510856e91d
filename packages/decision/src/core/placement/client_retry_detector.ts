/**
 * Detects requests that a client retries after a refusal: their timeout is
 * shorter than that of first attempts on the same route.
 */

export interface ClientRetryDetector {
  /**
   * Time since the client's first attempt, in ms, estimated as the difference
   * between the request's timeout and the longest one seen lately on the route;
   * 0 for a first attempt.
   *
   * @param timeoutMs Timeout that the client states in the request.
   */
  sinceFirstAttemptMs(route: string, timeoutMs: number, nowMs: number): number;
}

/** Smaller differences do not indicate an earlier attempt. */
const MINIMUM_DIFFERENCE_MS = 5;
/**
 * The longest timeout counts in the period in which it was seen and in the next.
 * Without a bound, one client that gives more time than usual would turn all
 * others into retries for good.
 */
const PERIOD_MS = 30_000;

interface LongestTimeout {
  period: number;
  inPeriodMs: number;
  beforeMs: number;
}

export function createClientRetryDetector(): ClientRetryDetector {
  const longestByRoute = new Map<string, LongestTimeout>();

  function longestOf(route: string, nowMs: number): LongestTimeout {
    const period = Math.floor(nowMs / PERIOD_MS);
    const known = longestByRoute.get(route);
    if (known?.period === period) {
      return known;
    }
    const longest: LongestTimeout = {
      period,
      inPeriodMs: 0,
      beforeMs: known?.period === period - 1 ? known.inPeriodMs : 0,
    };
    longestByRoute.set(route, longest);
    return longest;
  }

  return {
    sinceFirstAttemptMs: (route, timeoutMs, nowMs) => {
      const longest = longestOf(route, nowMs);
      longest.inPeriodMs = Math.max(longest.inPeriodMs, timeoutMs);
      const longestMs = Math.max(longest.inPeriodMs, longest.beforeMs);
      const elapsedMs = longestMs - timeoutMs;
      return elapsedMs < MINIMUM_DIFFERENCE_MS ? 0 : elapsedMs;
    },
  };
}
