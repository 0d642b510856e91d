/**
 * Recognizes clients that come back after a refusal: they state less time
 * than clients of the route usually have.
 */

export interface ClientRetryDetector {
  /**
   * Time that has passed since the client's first attempt, as far as its
   * stated patience tells.
   */
  sinceFirstAttemptMs(route: string, statedMs: number): number;
}

/** Differences below this are no sign of an earlier attempt. */
const MINIMUM_DIFFERENCE_MS = 5;

export function createClientRetryDetector(): ClientRetryDetector {
  const longestTimeoutMs = new Map<string, number>();

  return {
    sinceFirstAttemptMs: (route, statedMs) => {
      const before = longestTimeoutMs.get(route) ?? 0;
      if (statedMs >= before) {
        longestTimeoutMs.set(route, statedMs);
        return 0;
      }
      const elapsedMs = before - statedMs;
      return elapsedMs < MINIMUM_DIFFERENCE_MS ? 0 : elapsedMs;
    },
  };
}
