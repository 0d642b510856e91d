/**
 * Remembers which requests targets have answered lately. A request that many
 * callers send is in flight at most targets, so that several may crash under it
 * by chance; its answers elsewhere show that it is not the cause.
 */

export interface RecentAnswers {
  record(fingerprint: string, nowMs: number): void;
  has(fingerprint: string, nowMs: number): boolean;
}

/** About as long as a target's death may take to be known everywhere. */
const LIFETIME_MS = 10_000;
/** Remembered fingerprints; the one answered longest ago is evicted. */
const MAXIMUM_ANSWERS = 4_000;

export function createRecentAnswers(): RecentAnswers {
  const answeredAtMs = new Map<string, number>();

  return {
    record: (fingerprint, nowMs) => {
      answeredAtMs.delete(fingerprint);
      answeredAtMs.set(fingerprint, nowMs);
      if (answeredAtMs.size <= MAXIMUM_ANSWERS) {
        return;
      }
      for (const oldest of answeredAtMs.keys()) {
        answeredAtMs.delete(oldest);
        return;
      }
    },
    has: (fingerprint, nowMs) => {
      const atMs = answeredAtMs.get(fingerprint);
      return atMs !== undefined && nowMs - atMs <= LIFETIME_MS;
    },
  };
}
