/**
 * Recognizes clients that come back after a refusal: they state less time
 * than clients of the route usually have.
 */

export interface ClientPatience {
  /**
   * Time that has passed since the client's first attempt, as far as its
   * stated patience tells.
   */
  elapsedMs(route: string, statedMs: number): number;
}

/** Differences below this are no sign of an earlier attempt. */
const NOTICEABLE_MS = 5;

export function createClientPatience(): ClientPatience {
  const longest = new Map<string, number>();

  return {
    elapsedMs: (route, statedMs) => {
      const before = longest.get(route) ?? 0;
      if (statedMs >= before) {
        longest.set(route, statedMs);
        return 0;
      }
      const elapsedMs = before - statedMs;
      return elapsedMs < NOTICEABLE_MS ? 0 : elapsedMs;
    },
  };
}
