/**
 * Finds the requests that were running when a target crashed. A broken
 * connection alone proves no crash, because responses also get lost at targets
 * that keep running. The requests become suspects only when the target then
 * refuses connections or returns as a new incarnation.
 */

export interface CrashTracker {
  /**
   * Records that a connection broke during a request that may have run.
   *
   * @returns Whether the target is known to have crashed shortly before, so
   *     that the request is suspected.
   */
  recordBrokenConnection(
    target: string,
    fingerprint: string,
    nowMs: number,
  ): boolean;
  /**
   * Records a crash; returns the suspected requests.
   *
   * @param atMs When the crash was detected, here or by a peer.
   */
  recordCrash(target: string, atMs: number): readonly BrokenRequest[];
  /** Forgets all broken connections. */
  clear(): void;
}

export interface BrokenRequest {
  readonly fingerprint: string;
  /** When its connection broke. */
  readonly brokenAtMs: number;
}

/** A request is suspected if its connection broke this close to the crash. */
const SUSPICION_WINDOW_MS = 5_000;
const MAXIMUM_REQUESTS_PER_TARGET = 64;

export function createCrashTracker(): CrashTracker {
  const brokenByTarget = new Map<string, Map<string, number>>();
  /** Time at which each crash was detected. */
  const crashes = new Map<string, number>();

  function forgetOldCrashes(nowMs: number): void {
    for (const [target, atMs] of crashes) {
      if (nowMs - atMs > SUSPICION_WINDOW_MS) {
        crashes.delete(target);
      }
    }
  }

  return {
    recordBrokenConnection: (target, fingerprint, nowMs) => {
      forgetOldCrashes(nowMs);
      if (crashes.has(target)) {
        return true;
      }
      const broken = brokenByTarget.get(target) ?? new Map<string, number>();
      brokenByTarget.set(target, broken);
      for (const [old, atMs] of broken) {
        if (nowMs - atMs > SUSPICION_WINDOW_MS) {
          broken.delete(old);
        }
      }
      if (broken.size < MAXIMUM_REQUESTS_PER_TARGET) {
        broken.set(fingerprint, nowMs);
      }
      return false;
    },
    recordCrash: (target, atMs) => {
      const broken = brokenByTarget.get(target);
      brokenByTarget.delete(target);
      crashes.set(target, Math.max(atMs, crashes.get(target) ?? atMs));
      const suspects: BrokenRequest[] = [];
      for (const [fingerprint, brokenAtMs] of broken ?? []) {
        if (Math.abs(atMs - brokenAtMs) <= SUSPICION_WINDOW_MS) {
          suspects.push({fingerprint, brokenAtMs});
        }
      }
      return suspects;
    },
    clear: () => brokenByTarget.clear(),
  };
}
