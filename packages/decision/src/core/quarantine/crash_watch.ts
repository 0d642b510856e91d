/**
 * Finds the requests after which targets died. A broken connection alone says
 * little: answers get lost at targets that live on. Only when the target then
 * refuses connections, or comes back as another life, do the requests that it
 * had count as after-the-fact suspects.
 */

export interface CrashWatch {
  /** The target broke off a request that it may have been running. */
  brokeOff(life: string, fingerprint: string, nowMs: number): void;
  /** The target's death is certain; returns the requests that it had. */
  died(life: string, nowMs: number): readonly string[];
}

/** A request is suspected if the death shows within this time. */
const SUSPICION_SPAN_MS = 5_000;
const MAXIMUM_PER_TARGET = 64;

export function createCrashWatch(): CrashWatch {
  const brokenByLife = new Map<string, Map<string, number>>();

  return {
    brokeOff: (life, fingerprint, nowMs) => {
      const broken = brokenByLife.get(life) ?? new Map<string, number>();
      brokenByLife.set(life, broken);
      for (const [old, atMs] of broken) {
        if (nowMs - atMs > SUSPICION_SPAN_MS) {
          broken.delete(old);
        }
      }
      if (broken.size < MAXIMUM_PER_TARGET) {
        broken.set(fingerprint, nowMs);
      }
    },
    died: (life, nowMs) => {
      const broken = brokenByLife.get(life);
      brokenByLife.delete(life);
      const suspects: string[] = [];
      for (const [fingerprint, atMs] of broken ?? []) {
        if (nowMs - atMs <= SUSPICION_SPAN_MS) {
          suspects.push(fingerprint);
        }
      }
      return suspects;
    },
  };
}
