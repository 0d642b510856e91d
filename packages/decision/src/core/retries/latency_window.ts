/** Sliding window over the latest latencies of a pool, for quantiles. */
export interface LatencyWindow {
  add(latencyMs: number): void;
  /**
   * @param fraction 0 to 1, such as 0.95.
   * @returns Milliseconds; undefined until there are enough samples.
   */
  quantile(fraction: number): number | undefined;
}

const WINDOW_SAMPLES = 512;
const MINIMUM_SAMPLES = 50;
/** Samples after which quantiles are recomputed. */
const SAMPLES_PER_UPDATE = 32;

export function createLatencyWindow(): LatencyWindow {
  const window: number[] = [];
  let next = 0;
  let added = 0;
  let sorted: readonly number[] = [];

  function add(latencyMs: number): void {
    window[next] = latencyMs;
    next = (next + 1) % WINDOW_SAMPLES;
    added += 1;
    if (added % SAMPLES_PER_UPDATE === 0) {
      sorted = [...window].sort((one, other) => one - other);
    }
  }

  return {
    add,
    quantile: fraction => {
      if (sorted.length < MINIMUM_SAMPLES) {
        return undefined;
      }
      return sorted[Math.floor(fraction * (sorted.length - 1))];
    },
  };
}
