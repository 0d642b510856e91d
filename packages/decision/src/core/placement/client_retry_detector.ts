/**
 * Detects requests that a client retries after a refusal: they state a
 * shorter timeout than first attempts on the same route.
 */

export interface ClientRetryDetector {
  /**
   * Time since the client's first attempt, estimated as the difference
   * between the stated timeout and the longest one seen on the route; 0 for
   * a first attempt.
   */
  sinceFirstAttemptMs(route: string, statedMs: number): number;
}

/** Smaller differences do not indicate an earlier attempt. */
const MINIMUM_DIFFERENCE_MS = 5;

export function createClientRetryDetector(): ClientRetryDetector {
  const longestTimeoutMs = new Map<string, number>();

  return {
    sinceFirstAttemptMs: (route, statedMs) => {
      const longestMs = longestTimeoutMs.get(route) ?? 0;
      if (statedMs >= longestMs) {
        longestTimeoutMs.set(route, statedMs);
        return 0;
      }
      const elapsedMs = longestMs - statedMs;
      return elapsedMs < MINIMUM_DIFFERENCE_MS ? 0 : elapsedMs;
    },
  };
}
