/**
 * Finds the requests after which targets died. A broken connection alone says
 * little: answers get lost at targets that live on. Only when the target then
 * refuses connections, or comes back as another life, do the requests that it
 * had count as after-the-fact suspects.
 */

export interface CrashTracker {
  /** The target broke off a request that it may have been running. */
  connectionBroken(
    incarnation: string,
    fingerprint: string,
    nowMs: number,
  ): void;
  /** The target's death is certain; returns the requests that it had. */
  crashed(incarnation: string, nowMs: number): readonly string[];
}

/** A request is suspected if the death shows within this time. */
const SUSPICION_WINDOW_MS = 5_000;
const MAXIMUM_PER_TARGET = 64;

export function createCrashTracker(): CrashTracker {
  const brokenByIncarnation = new Map<string, Map<string, number>>();

  return {
    connectionBroken: (incarnation, fingerprint, nowMs) => {
      const broken =
        brokenByIncarnation.get(incarnation) ?? new Map<string, number>();
      brokenByIncarnation.set(incarnation, broken);
      for (const [old, atMs] of broken) {
        if (nowMs - atMs > SUSPICION_WINDOW_MS) {
          broken.delete(old);
        }
      }
      if (broken.size < MAXIMUM_PER_TARGET) {
        broken.set(fingerprint, nowMs);
      }
    },
    crashed: (incarnation, nowMs) => {
      const broken = brokenByIncarnation.get(incarnation);
      brokenByIncarnation.delete(incarnation);
      const suspects: string[] = [];
      for (const [fingerprint, atMs] of broken ?? []) {
        if (nowMs - atMs <= SUSPICION_WINDOW_MS) {
          suspects.push(fingerprint);
        }
      }
      return suspects;
    },
  };
}
