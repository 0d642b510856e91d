/**
 * Measures the demand of the clients of this VM: the number of slots that their
 * requests need, by service.
 */

export interface DemandMeter {
  /** @param expectedMs Expected time for which the request occupies a slot. */
  recordArrival(service: string, expectedMs: number, nowMs: number): void;
  /** Slots needed, as a moving average over about a second. */
  demandByService(nowMs: number): ReadonlyMap<string, number>;
  /** Moving average of `expectedMs`; undefined before the first arrival. */
  meanDurationMs(service: string): number | undefined;
}

/** Time constant of the moving average. */
const DECAY_TIME_MS = 1_000;
/** Weight of the newest request in the mean duration. */
const SAMPLE_WEIGHT = 0.05;

interface Meter {
  readonly level: number;
  readonly atMs: number;
  readonly meanMs: number;
}

export function createDemandMeter(): DemandMeter {
  const meters = new Map<string, Meter>();

  function decayedLevel(service: string, nowMs: number): number {
    const meter = meters.get(service);
    if (!meter) {
      return 0;
    }
    return meter.level * Math.exp((meter.atMs - nowMs) / DECAY_TIME_MS);
  }

  return {
    recordArrival: (service, expectedMs, nowMs) => {
      const level = decayedLevel(service, nowMs) + expectedMs / DECAY_TIME_MS;
      const meanMs = meters.get(service)?.meanMs ?? expectedMs;
      meters.set(service, {
        level,
        atMs: nowMs,
        meanMs: meanMs + (expectedMs - meanMs) * SAMPLE_WEIGHT,
      });
    },
    demandByService: nowMs => {
      const levels = new Map<string, number>();
      for (const service of meters.keys()) {
        levels.set(service, decayedLevel(service, nowMs));
      }
      return levels;
    },
    meanDurationMs: service => meters.get(service)?.meanMs,
  };
}
