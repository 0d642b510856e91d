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
   * @param slowness Of the target, against its service's usual pace.
   */
  looksWarm(
    route: string,
    objectiveMs: number,
    tookMs: number,
    slowness: number,
  ): boolean;
  learn(
    route: string,
    objectiveMs: number,
    warm: boolean,
    tookMs: number,
  ): void;
  /** Expected milliseconds over warm and cold runs as they come. */
  meanMs(route: string, objectiveMs: number): number;
  /** Usual length of the route's answers. */
  answerBytes(route: string): number;
  learnBytes(route: string, bytes: number): void;
}

/** First guesses, as shares of the latency objective. */
const WARM_SHARE = 0.4;
const COLD_SHARE = 1.3;
const SAMPLE_WEIGHT = 0.05;
/** One sample moves the average by at most this factor of it. */
const LARGEST_SAMPLE_RATIO = 3;

export function createServiceTimes(): ServiceTimes {
  const averages = new Map<string, number>();
  const means = new Map<string, number>();
  const bytesByRoute = new Map<string, number>();

  function expectedMs(
    route: string,
    objectiveMs: number,
    warm: boolean,
  ): number {
    const share = warm ? WARM_SHARE : COLD_SHARE;
    return averages.get(keyOf(route, warm)) ?? objectiveMs * share;
  }

  return {
    expectedMs,
    meanMs: (route, objectiveMs) =>
      means.get(route) ?? objectiveMs * COLD_SHARE,
    answerBytes: route => bytesByRoute.get(route) ?? 0,
    learnBytes: (route, bytes) => {
      const before = bytesByRoute.get(route) ?? bytes;
      bytesByRoute.set(route, before + (bytes - before) * SAMPLE_WEIGHT);
    },
    looksWarm: (route, objectiveMs, tookMs, slowness) => {
      const warmMs = expectedMs(route, objectiveMs, true);
      const coldMs = expectedMs(route, objectiveMs, false);
      return tookMs < Math.sqrt(warmMs * coldMs) * slowness;
    },
    learn: (route, objectiveMs, warm, tookMs) => {
      const mean = means.get(route) ?? objectiveMs * COLD_SHARE;
      means.set(route, mean + (tookMs - mean) * SAMPLE_WEIGHT);
      const before = expectedMs(route, objectiveMs, warm);
      const sample = Math.min(tookMs, before * LARGEST_SAMPLE_RATIO);
      averages.set(
        keyOf(route, warm),
        before + (sample - before) * SAMPLE_WEIGHT,
      );
    },
  };
}

function keyOf(route: string, warm: boolean): string {
  return `${warm ? 'warm' : 'cold'} ${route}`;
}
