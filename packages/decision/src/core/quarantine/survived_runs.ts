/**
 * Measures how often each request runs at targets that outlive it, and for how
 * long, as the peak of the last seconds: a request that has just become popular
 * is at most targets although its mean is low.
 */

export interface SurvivedRuns {
  record(fingerprint: string, durationMs: number, nowMs: number): void;
  /** The busiest second of the last ones. */
  peak(fingerprint: string, nowMs: number): RunRate;
}

/** Runs in a second. */
export interface RunRate {
  readonly runsPerSecond: number;
  /** Their durations together, in milliseconds. */
  readonly msPerSecond: number;
}

export const NO_RUNS: RunRate = {runsPerSecond: 0, msPerSecond: 0};

export function maximumRate(one: RunRate, other: RunRate): RunRate {
  return {
    runsPerSecond: Math.max(one.runsPerSecond, other.runsPerSecond),
    msPerSecond: Math.max(one.msPerSecond, other.msPerSecond),
  };
}

const SECOND_MS = 1_000;
/** Peaks are kept for one to two of these periods. */
const PERIOD_MS = 10_000;
/** Measured requests; the one that was used longest ago is evicted. */
const MAXIMUM_REQUESTS = 4_000;

interface Meter {
  secondStartedMs: number;
  second: RunRate;
  periodStartedMs: number;
  peak: RunRate;
  previousPeak: RunRate;
}

export function createSurvivedRuns(): SurvivedRuns {
  const meters = new Map<string, Meter>();

  function meterOf(fingerprint: string, nowMs: number): Meter {
    const known = meters.get(fingerprint);
    if (known) {
      // Moves it to the end, so that the first one is the oldest.
      meters.delete(fingerprint);
      meters.set(fingerprint, known);
      return known;
    }
    const meter: Meter = {
      secondStartedMs: nowMs,
      second: NO_RUNS,
      periodStartedMs: nowMs,
      peak: NO_RUNS,
      previousPeak: NO_RUNS,
    };
    meters.set(fingerprint, meter);
    if (meters.size > MAXIMUM_REQUESTS) {
      for (const oldest of meters.keys()) {
        meters.delete(oldest);
        break;
      }
    }
    return meter;
  }

  function advance(meter: Meter, nowMs: number): void {
    if (nowMs - meter.secondStartedMs >= SECOND_MS) {
      meter.secondStartedMs = nowMs;
      meter.second = NO_RUNS;
    }
    const periods = Math.floor((nowMs - meter.periodStartedMs) / PERIOD_MS);
    if (periods > 0) {
      meter.previousPeak = periods === 1 ? meter.peak : NO_RUNS;
      meter.peak = NO_RUNS;
      meter.periodStartedMs += periods * PERIOD_MS;
    }
  }

  return {
    record: (fingerprint, durationMs, nowMs) => {
      const meter = meterOf(fingerprint, nowMs);
      advance(meter, nowMs);
      meter.second = {
        runsPerSecond: meter.second.runsPerSecond + 1,
        msPerSecond: meter.second.msPerSecond + durationMs,
      };
      meter.peak = maximumRate(meter.peak, meter.second);
    },
    peak: (fingerprint, nowMs) => {
      const meter = meters.get(fingerprint);
      if (!meter) {
        return NO_RUNS;
      }
      advance(meter, nowMs);
      return maximumRate(meter.peak, meter.previousPeak);
    },
  };
}
