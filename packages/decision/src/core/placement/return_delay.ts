/**
 * When a caller that was refused for lack of a slot should come back.
 *
 * Load pattern: targets whose queues take longer to drain than the shortest time
 * to come back. Callers that return before are refused once more, and all that
 * were refused at once return at once.
 */

/** Callers that wait for longer have mostly used up their time. */
const MAXIMUM_DELAY_MS = 1_500;
/** Returns are spread over this fraction of the delay, in both directions. */
const SPREAD_FRACTION = 0.25;

/**
 * @param waitMs Expected wait for a slot at the best target.
 * @param minimumMs Shortest time to come back.
 * @param position Random number, 0 to 1.
 */
export function returnDelayMs(
  waitMs: number,
  minimumMs: number,
  position: number,
): number {
  const delayMs = Math.min(MAXIMUM_DELAY_MS, waitMs);
  const spread = 1 + SPREAD_FRACTION * (2 * position - 1);
  return Math.max(minimumMs, delayMs * spread);
}
