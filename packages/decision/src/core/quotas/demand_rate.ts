/** Request rate of a workspace at one VM, as an exponentially decaying count. */
export interface DemandRate {
  record(nowMs: number): void;
  /** Requests per second. */
  perSecond(nowMs: number): number;
}

/** Short, so that a share follows callers that move within about a second. */
const DECAY_TIME_MS = 1_500;
const MILLISECONDS_PER_SECOND = 1_000;

export function createDemandRate(): DemandRate {
  let count = 0;
  let countedAtMs = -Infinity;

  function decayed(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - countedAtMs);
    return count === 0 ? 0 : count * Math.exp(-ageMs / DECAY_TIME_MS);
  }

  return {
    record: nowMs => {
      count = decayed(nowMs) + 1;
      countedAtMs = nowMs;
    },
    perSecond: nowMs =>
      (decayed(nowMs) * MILLISECONDS_PER_SECOND) / DECAY_TIME_MS,
  };
}
