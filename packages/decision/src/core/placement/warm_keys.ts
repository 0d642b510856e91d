/** Which targets have handled which affinity keys lately, as this VM saw. */

export interface WarmKeys {
  isWarm(
    incarnation: string,
    service: string,
    key: string,
    nowMs: number,
  ): boolean;
  used(incarnation: string, service: string, key: string, nowMs: number): void;
}

/**
 * Time after which a target is taken to have forgotten a key: under overload
 * new keys push out the ones used longest ago within about this time.
 */
const WARM_LIFETIME_MS = 3_000;
/** Keys remembered; the ones unused for longest are dropped. */
const MAXIMUM_KEYS = 10_000;

export function createWarmKeys(): WarmKeys {
  /** By service and key, then by life: the last moment. */
  const lastUsedAtMs = new Map<string, Map<string, number>>();

  return {
    isWarm: (incarnation, service, key, nowMs) => {
      const atMs = lastUsedAtMs.get(cacheKey(service, key))?.get(incarnation);
      return atMs !== undefined && nowMs - atMs < WARM_LIFETIME_MS;
    },
    used: (incarnation, service, key, nowMs) => {
      const name = cacheKey(service, key);
      const byIncarnation = lastUsedAtMs.get(name) ?? new Map<string, number>();
      // The keys used last stand last.
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
