/**
 * Finds the requests that were running when a target crashed. A broken
 * connection alone proves no crash, because responses also get lost at targets
 * that keep running. The requests become suspects only when the target then
 * refuses connections or returns as a new incarnation.
 */

export interface CrashTracker {
  /** The connection broke during a request that the target may have run. */
  connectionBroken(
    incarnation: string,
    fingerprint: string,
    nowMs: number,
  ): void;
  /** The target has crashed; returns the fingerprints that are suspects. */
  crashed(incarnation: string, nowMs: number): readonly string[];
}

/** A request is a suspect if the crash is detected within this time. */
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
