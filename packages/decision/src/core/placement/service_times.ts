/**
 * How long a service takes for a request, learned from answers of targets
 * that had a slot free: with the affinity key warm at the target, and cold.
 */

export interface ServiceTimes {
  /** Expected milliseconds at a target that is neither slow nor busy. */
  expectedMs(route: string, objectiveMs: number, warm: boolean): number;
  /**
   * Whether a run of this length looks like one with the key warm.
   *
   * @param slowdown Of the target, against its service's usual pace.
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
  /** Expected milliseconds over warm and cold runs as they come. */
  meanMs(route: string, objectiveMs: number): number;
  /** Usual length of the route's answers. */
  answerBytes(route: string): number;
  recordAnswerBytes(route: string, bytes: number): void;
}

/** First guesses, as shares of the latency objective. */
const INITIAL_WARM_FRACTION = 0.4;
const INITIAL_COLD_FRACTION = 1.3;
const SAMPLE_WEIGHT = 0.05;
/** One sample moves the average by at most this factor of it. */
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
    answerBytes: route => bytesByRoute.get(route) ?? 0,
    recordAnswerBytes: (route, bytes) => {
      const before = bytesByRoute.get(route) ?? bytes;
      bytesByRoute.set(route, before + (bytes - before) * SAMPLE_WEIGHT);
    },
    looksWarm: (route, objectiveMs, tookMs, slowness) => {
      const warmMs = expectedMs(route, objectiveMs, true);
      const coldMs = expectedMs(route, objectiveMs, false);
      return tookMs < Math.sqrt(warmMs * coldMs) * slowness;
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
