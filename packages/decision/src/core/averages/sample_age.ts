/**
 * How much a moving average still says, by the age of its last sample. Without
 * it, an average that keeps requests away keeps away the samples that would
 * correct it.
 */

/** Time constants of one kind of average. */
export interface SampleAging {
  /** Up to this age, the average counts in full. */
  readonly freshMs: number;
  /** Time constant of the exponential decay after that. */
  readonly decayMs: number;
}

/** Weight of an average whose last sample came at `sampledAtMs`, 0 to 1. */
export function weightAtAge(
  {freshMs, decayMs}: SampleAging,
  sampledAtMs: number,
  nowMs: number,
): number {
  const staleMs = nowMs - sampledAtMs - freshMs;
  return staleMs <= 0 ? 1 : Math.exp(-staleMs / decayMs);
}
