/** Tracks which targets recently handled which affinity keys for this VM. */

export interface WarmKeys {
  /** Whether the target is expected to have the key in its cache. */
  isWarm(
    incarnation: string,
    service: string,
    key: string,
    nowMs: number,
  ): boolean;
  recordUse(
    incarnation: string,
    service: string,
    key: string,
    nowMs: number,
  ): void;
}

/**
 * Time after which a target is assumed to have evicted a key: under overload
 * its least recently used keys are evicted within about this time.
 */
const WARM_LIFETIME_MS = 3_000;
/** Tracked keys; the least recently used ones are evicted. */
const MAXIMUM_KEYS = 10_000;

export function createWarmKeys(): WarmKeys {
  /** By service and key, then by target incarnation. */
  const lastUsedAtMs = new Map<string, Map<string, number>>();

  return {
    isWarm: (incarnation, service, key, nowMs) => {
      const atMs = lastUsedAtMs.get(cacheKey(service, key))?.get(incarnation);
      return atMs !== undefined && nowMs - atMs < WARM_LIFETIME_MS;
    },
    recordUse: (incarnation, service, key, nowMs) => {
      const name = cacheKey(service, key);
      const byIncarnation = lastUsedAtMs.get(name) ?? new Map<string, number>();
      // Reinserted, so that the map stays ordered from least recently used.
      lastUsedAtMs.delete(name);
      lastUsedAtMs.set(name, byIncarnation);
      byIncarnation.set(incarnation, nowMs);
      for (const [other, atMs] of byIncarnation) {
        if (nowMs - atMs >= WARM_LIFETIME_MS) {
          byIncarnation.delete(other);
        }
      }
      if (lastUsedAtMs.size <= MAXIMUM_KEYS) {
        return;
      }
      for (const oldest of lastUsedAtMs.keys()) {
        lastUsedAtMs.delete(oldest);
        break;
      }
    },
  };
}

function cacheKey(service: string, key: string): string {
  return `${service} ${key}`;
}
