/** The latest latencies of a pool, for quantiles. */
export interface LatencyWindow {
  add(latencyMs: number): void;
  /** Undefined until there are enough answers for a judgement. */
  quantile(fraction: number): number | undefined;
}

const WINDOW_ANSWERS = 512;
const MINIMUM_ANSWERS = 50;
/** Quantiles are computed again after so many answers. */
const ANSWERS_PER_UPDATE = 32;

export function createLatencyWindow(): LatencyWindow {
  const window: number[] = [];
  let next = 0;
  let added = 0;
  let sorted: readonly number[] = [];

  function add(latencyMs: number): void {
    window[next] = latencyMs;
    next = (next + 1) % WINDOW_ANSWERS;
    added += 1;
    if (added % ANSWERS_PER_UPDATE === 0) {
      sorted = [...window].sort((one, other) => one - other);
    }
  }

  return {
    add,
    quantile: fraction => {
      if (sorted.length < MINIMUM_ANSWERS) {
        return undefined;
      }
      return sorted[Math.floor(fraction * (sorted.length - 1))];
    },
  };
}
