/** Which targets have handled which affinity keys lately, as this VM saw. */

export interface WarmKeys {
  isWarm(life: string, service: string, key: string, nowMs: number): boolean;
  handled(life: string, service: string, key: string, nowMs: number): void;
}

/**
 * Time after which a target is taken to have forgotten a key: under overload
 * new keys push out the ones used longest ago within about this time.
 */
const WARM_SPAN_MS = 3_000;
/** Keys remembered; the ones unused for longest are dropped. */
const MAXIMUM_KEYS = 10_000;

export function createWarmKeys(): WarmKeys {
  /** By service and key, then by life: the last moment. */
  const handledAt = new Map<string, Map<string, number>>();

  return {
    isWarm: (life, service, key, nowMs) => {
      const atMs = handledAt.get(nameOf(service, key))?.get(life);
      return atMs !== undefined && nowMs - atMs < WARM_SPAN_MS;
    },
    handled: (life, service, key, nowMs) => {
      const name = nameOf(service, key);
      const lives = handledAt.get(name) ?? new Map<string, number>();
      // The keys used last stand last.
      handledAt.delete(name);
      handledAt.set(name, lives);
      lives.set(life, nowMs);
      for (const [other, atMs] of lives) {
        if (nowMs - atMs >= WARM_SPAN_MS) {
          lives.delete(other);
        }
      }
      if (handledAt.size <= MAXIMUM_KEYS) {
        return;
      }
      for (const oldest of handledAt.keys()) {
        handledAt.delete(oldest);
        break;
      }
    },
  };
}

function nameOf(service: string, key: string): string {
  return `${service} ${key}`;
}
