/**
 * Measures how much of the targets' time each request takes with runs that the
 * targets outlive, as the peak of the last seconds: a request that has just
 * become popular is at most targets although its mean is low.
 */

export interface SurvivedRuns {
  record(fingerprint: string, durationMs: number, nowMs: number): void;
  /** Milliseconds of runs in a second, at the peak; 0 without a run. */
  peakMsPerSecond(fingerprint: string, nowMs: number): number;
}

const SECOND_MS = 1_000;
/** Peaks are kept for one to two of these periods. */
const PERIOD_MS = 10_000;
/** Measured requests; the one that was used longest ago is evicted. */
const MAXIMUM_REQUESTS = 4_000;

interface Meter {
  secondStartedMs: number;
  secondMs: number;
  periodStartedMs: number;
  peakMs: number;
  previousPeakMs: number;
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
      secondMs: 0,
      periodStartedMs: nowMs,
      peakMs: 0,
      previousPeakMs: 0,
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
      meter.secondMs = 0;
    }
    const periods = Math.floor((nowMs - meter.periodStartedMs) / PERIOD_MS);
    if (periods > 0) {
      meter.previousPeakMs = periods === 1 ? meter.peakMs : 0;
      meter.peakMs = 0;
      meter.periodStartedMs += periods * PERIOD_MS;
    }
  }

  return {
    record: (fingerprint, durationMs, nowMs) => {
      const meter = meterOf(fingerprint, nowMs);
      advance(meter, nowMs);
      meter.secondMs += durationMs;
      meter.peakMs = Math.max(meter.peakMs, meter.secondMs);
    },
    peakMsPerSecond: (fingerprint, nowMs) => {
      const meter = meters.get(fingerprint);
      if (!meter) {
        return 0;
      }
      advance(meter, nowMs);
      return Math.max(meter.peakMs, meter.previousPeakMs);
    },
  };
}
