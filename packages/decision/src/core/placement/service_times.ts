/**
 * Expected service time of each route, learned from responses of targets that
 * had a free slot, separately for affinity keys that are in the target's cache
 * (warm) and those that are not (cold).
 */
import {type SampleAging, weightAtAge} from '../averages/index.js';

/** Duration of one request at a target that had a free slot. */
export interface DurationSample {
  readonly route: string;
  /** Latency objective of the route. */
  readonly objectiveMs: number;
  /** Which of the estimates the sample belongs to. */
  readonly warm: boolean;
  readonly tookMs: number;
  /** Whether the request was sent although the estimate would refuse it. */
  readonly isTrial: boolean;
}

export interface ServiceTimes {
  /**
   * Expected service time at a target that is neither slow nor busy.
   *
   * @param objectiveMs Latency objective of the route; the estimates are
   *     fractions of it until there are samples.
   * @param warm Whether the target has the affinity key in its cache.
   */
  expectedMs(
    route: string,
    objectiveMs: number,
    warm: boolean,
    nowMs: number,
  ): number;
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
    nowMs: number,
  ): boolean;
  recordDuration(sample: DurationSample, nowMs: number): void;
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
/**
 * Weight of a trial once no other request has brought a sample for some time.
 * Trials that miss their deadline bring none, so that beside other samples they
 * would make the estimate too low.
 */
const TRIAL_WEIGHT = 0.5;
const TRIAL_AGING: SampleAging = {freshMs: 500, decayMs: 500};
/** Samples are capped at this multiple of the average. */
const MAXIMUM_SAMPLE_RATIO = 3;
/**
 * Whether a response was cold is told by the estimates. One for cold keys that
 * is far too high gets no samples, since all responses look warm.
 */
const COLD_AGING: SampleAging = {freshMs: 5_000, decayMs: 3_000};

interface Average {
  readonly valueMs: number;
  /** Last sample of any kind. */
  readonly sampledAtMs: number;
  /** Last sample of a request that was not a trial. */
  readonly ordinaryAtMs: number;
}

export function createServiceTimes(): ServiceTimes {
  const durations = new Map<string, Average>();
  const meanDurations = new Map<string, Average>();
  const bytesByRoute = new Map<string, number>();

  function warmMs(route: string, objectiveMs: number): number {
    return (
      durations.get(keyOf(route, true))?.valueMs ??
      objectiveMs * INITIAL_WARM_FRACTION
    );
  }

  function coldMs(route: string, objectiveMs: number, nowMs: number): number {
    const average = durations.get(keyOf(route, false));
    if (!average) {
      return objectiveMs * INITIAL_COLD_FRACTION;
    }
    const {valueMs, sampledAtMs} = average;
    const usualMs =
      (warmMs(route, objectiveMs) * INITIAL_COLD_FRACTION) /
      INITIAL_WARM_FRACTION;
    const excessMs = Math.max(0, valueMs - usualMs);
    const staleExcess = 1 - weightAtAge(COLD_AGING, sampledAtMs, nowMs);
    return valueMs - excessMs * staleExcess;
  }

  function expectedMs(
    route: string,
    objectiveMs: number,
    warm: boolean,
    nowMs: number,
  ): number {
    return warm
      ? warmMs(route, objectiveMs)
      : coldMs(route, objectiveMs, nowMs);
  }

  function meanMs(route: string, objectiveMs: number): number {
    return (
      meanDurations.get(route)?.valueMs ?? objectiveMs * INITIAL_COLD_FRACTION
    );
  }

  function recordDuration(sample: DurationSample, nowMs: number): void {
    const {route, objectiveMs, warm, tookMs, isTrial} = sample;
    const key = keyOf(route, warm);
    const before = expectedMs(route, objectiveMs, warm, nowMs);
    const cappedMs = Math.min(tookMs, before * MAXIMUM_SAMPLE_RATIO);
    durations.set(
      key,
      next(durations.get(key), before, cappedMs, isTrial, nowMs),
    );
    const meanBefore = meanMs(route, objectiveMs);
    meanDurations.set(
      route,
      next(meanDurations.get(route), meanBefore, tookMs, isTrial, nowMs),
    );
  }

  return {
    expectedMs,
    meanMs,
    responseBytes: route => bytesByRoute.get(route) ?? 0,
    recordResponseBytes: (route, bytes) => {
      const before = bytesByRoute.get(route) ?? bytes;
      bytesByRoute.set(route, before + (bytes - before) * SAMPLE_WEIGHT);
    },
    looksWarm: (route, objectiveMs, tookMs, slowdown, nowMs) => {
      const warm = expectedMs(route, objectiveMs, true, nowMs);
      const cold = expectedMs(route, objectiveMs, false, nowMs);
      return tookMs < Math.sqrt(warm * cold) * slowdown;
    },
    recordDuration,
  };
}

/** @param beforeMs What the average says before the sample. */
function next(
  average: Average | undefined,
  beforeMs: number,
  sampleMs: number,
  isTrial: boolean,
  nowMs: number,
): Average {
  const ordinaryAtMs = average?.ordinaryAtMs ?? -Infinity;
  const weight = isTrial ? trialWeight(ordinaryAtMs, nowMs) : SAMPLE_WEIGHT;
  return {
    valueMs: beforeMs + (sampleMs - beforeMs) * weight,
    sampledAtMs: nowMs,
    ordinaryAtMs: isTrial ? ordinaryAtMs : nowMs,
  };
}

function trialWeight(ordinaryAtMs: number, nowMs: number): number {
  const staleness = 1 - weightAtAge(TRIAL_AGING, ordinaryAtMs, nowMs);
  return Math.max(SAMPLE_WEIGHT, TRIAL_WEIGHT * staleness);
}

function keyOf(route: string, warm: boolean): string {
  return `${warm ? 'warm' : 'cold'} ${route}`;
}
