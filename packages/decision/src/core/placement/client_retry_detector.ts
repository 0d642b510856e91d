/**
 * Detects requests that a client retries after a refusal: their timeout is
 * shorter than that of first attempts on the same route.
 */

export interface ClientRetryDetector {
  /**
   * Time since the client's first attempt, in ms, estimated as the difference
   * between the request's timeout and the longest one seen on the route; 0 for
   * a first attempt.
   *
   * @param timeoutMs Timeout that the client states in the request.
   */
  sinceFirstAttemptMs(route: string, timeoutMs: number): number;
}

/** Smaller differences do not indicate an earlier attempt. */
const MINIMUM_DIFFERENCE_MS = 5;

export function createClientRetryDetector(): ClientRetryDetector {
  const longestTimeoutMs = new Map<string, number>();

  return {
    sinceFirstAttemptMs: (route, timeoutMs) => {
      const longestMs = longestTimeoutMs.get(route) ?? 0;
      if (timeoutMs >= longestMs) {
        longestTimeoutMs.set(route, timeoutMs);
        return 0;
      }
      const elapsedMs = longestMs - timeoutMs;
      return elapsedMs < MINIMUM_DIFFERENCE_MS ? 0 : elapsedMs;
    },
  };
}
