/**
 * Expected service time of each route, learned from responses of targets that
 * had a free slot, separately for affinity keys that are in the target's cache
 * (warm) and those that are not (cold).
 */

export interface ServiceTimes {
  /**
   * Expected service time at a target that is neither slow nor busy.
   *
   * @param objectiveMs Latency objective of the route; the estimates are
   *     fractions of it until there are samples.
   * @param warm Whether the target has the affinity key in its cache.
   */
  expectedMs(route: string, objectiveMs: number, warm: boolean): number;
  /**
   * Whether a request that took this long probably found its key in the cache.
   *
   * @param slowdown The target's service time divided by the expected one.
   */
  looksWarm(
    route: string,
    objectiveMs: number,
    tookMs: number,
    slowdown: number,
  ): boolean;
  recordDuration(
    route: string,
    objectiveMs: number,
    warm: boolean,
    tookMs: number,
  ): void;
  /** Moving average over requests with warm and cold keys together. */
  meanMs(route: string, objectiveMs: number): number;
  /** Moving average of the response size; 0 if unknown. */
  responseBytes(route: string): number;
  recordResponseBytes(route: string, bytes: number): void;
}

/** Estimates before the first sample, as fractions of the latency objective. */
const INITIAL_WARM_FRACTION = 0.4;
const INITIAL_COLD_FRACTION = 1.3;
const SAMPLE_WEIGHT = 0.05;
/** Samples are capped at this multiple of the average. */
const MAXIMUM_SAMPLE_RATIO = 3;

export function createServiceTimes(): ServiceTimes {
  const durations = new Map<string, number>();
  const meanDurations = new Map<string, number>();
  const bytesByRoute = new Map<string, number>();

  function expectedMs(
    route: string,
    objectiveMs: number,
    warm: boolean,
  ): number {
    const share = warm ? INITIAL_WARM_FRACTION : INITIAL_COLD_FRACTION;
    return durations.get(keyOf(route, warm)) ?? objectiveMs * share;
  }

  return {
    expectedMs,
    meanMs: (route, objectiveMs) =>
      meanDurations.get(route) ?? objectiveMs * INITIAL_COLD_FRACTION,
    responseBytes: route => bytesByRoute.get(route) ?? 0,
    recordResponseBytes: (route, bytes) => {
      const before = bytesByRoute.get(route) ?? bytes;
      bytesByRoute.set(route, before + (bytes - before) * SAMPLE_WEIGHT);
    },
    looksWarm: (route, objectiveMs, tookMs, slowdown) => {
      const warmMs = expectedMs(route, objectiveMs, true);
      const coldMs = expectedMs(route, objectiveMs, false);
      return tookMs < Math.sqrt(warmMs * coldMs) * slowdown;
    },
    recordDuration: (route, objectiveMs, warm, tookMs) => {
      const mean =
        meanDurations.get(route) ?? objectiveMs * INITIAL_COLD_FRACTION;
      meanDurations.set(route, mean + (tookMs - mean) * SAMPLE_WEIGHT);
      const before = expectedMs(route, objectiveMs, warm);
      const sample = Math.min(tookMs, before * MAXIMUM_SAMPLE_RATIO);
      durations.set(
        keyOf(route, warm),
        before + (sample - before) * SAMPLE_WEIGHT,
      );
    },
  };
}

function keyOf(route: string, warm: boolean): string {
  return `${warm ? 'warm' : 'cold'} ${route}`;
}
