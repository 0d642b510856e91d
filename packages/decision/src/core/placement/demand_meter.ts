/** How many slots the requests of a VM's own clients keep busy, by service. */

export interface DemandMeter {
  /** @param expectedMs Slot time that the request is expected to take. */
  arrived(service: string, expectedMs: number, nowMs: number): void;
  /** Busy slots by service, over the last second or so. */
  read(nowMs: number): ReadonlyMap<string, number>;
}

/** Time over which older arrivals lose weight. */
const DECAY_TIME_MS = 1_000;

export function createDemandMeter(): DemandMeter {
  const meters = new Map<string, {level: number; atMs: number}>();

  function decayedLevel(service: string, nowMs: number): number {
    const meter = meters.get(service);
    if (!meter) {
      return 0;
    }
    return meter.level * Math.exp((meter.atMs - nowMs) / DECAY_TIME_MS);
  }

  return {
    arrived: (service, expectedMs, nowMs) => {
      const level = decayedLevel(service, nowMs) + expectedMs / DECAY_TIME_MS;
      meters.set(service, {level, atMs: nowMs});
    },
    read: nowMs => {
      const levels = new Map<string, number>();
      for (const service of meters.keys()) {
        levels.set(service, decayedLevel(service, nowMs));
      }
      return levels;
    },
  };
}
