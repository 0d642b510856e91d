/**
 * Finds the requests that were running when a target crashed. A broken
 * connection alone proves no crash, because responses also get lost at targets
 * that keep running. The requests become suspects only when the target then
 * refuses connections or returns as a new incarnation.
 */

export interface CrashTracker {
  /** Records that a connection broke during a request that may have run. */
  recordBrokenConnection(
    incarnation: string,
    fingerprint: string,
    nowMs: number,
  ): void;
  /** Records a crash; returns the suspected requests. */
  recordCrash(incarnation: string, nowMs: number): readonly BrokenRequest[];
  /** Forgets all broken connections. */
  clear(): void;
}

export interface BrokenRequest {
  readonly fingerprint: string;
  /** When its connection broke. */
  readonly brokenAtMs: number;
}

/** A request is suspected if the crash is detected this soon after it broke. */
const SUSPICION_WINDOW_MS = 5_000;
const MAXIMUM_REQUESTS_PER_TARGET = 64;

export function createCrashTracker(): CrashTracker {
  const brokenByIncarnation = new Map<string, Map<string, number>>();

  return {
    recordBrokenConnection: (incarnation, fingerprint, nowMs) => {
      const broken =
        brokenByIncarnation.get(incarnation) ?? new Map<string, number>();
      brokenByIncarnation.set(incarnation, broken);
      for (const [old, atMs] of broken) {
        if (nowMs - atMs > SUSPICION_WINDOW_MS) {
          broken.delete(old);
        }
      }
      if (broken.size < MAXIMUM_REQUESTS_PER_TARGET) {
        broken.set(fingerprint, nowMs);
      }
    },
    recordCrash: (incarnation, nowMs) => {
      const broken = brokenByIncarnation.get(incarnation);
      brokenByIncarnation.delete(incarnation);
      const suspects: BrokenRequest[] = [];
      for (const [fingerprint, brokenAtMs] of broken ?? []) {
        if (nowMs - brokenAtMs <= SUSPICION_WINDOW_MS) {
          suspects.push({fingerprint, brokenAtMs});
        }
      }
      return suspects;
    },
    clear: () => brokenByIncarnation.clear(),
  };
}
