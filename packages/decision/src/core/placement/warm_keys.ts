/** Which targets have handled which affinity keys lately, as this VM saw. */

export interface WarmKeys {
  isWarm(life: string, service: string, key: string, nowMs: number): boolean;
  handled(life: string, service: string, key: string, nowMs: number): void;
}

/** Time after which a target is taken to have forgotten a key. */
const WARM_SPAN_MS = 15_000;
/** Pairs remembered; the oldest are dropped. */
const MAXIMUM_PAIRS = 20_000;

export function createWarmKeys(): WarmKeys {
  const handledAt = new Map<string, number>();

  return {
    isWarm: (life, service, key, nowMs) => {
      const atMs = handledAt.get(pairOf(life, service, key));
      return atMs !== undefined && nowMs - atMs < WARM_SPAN_MS;
    },
    handled: (life, service, key, nowMs) => {
      const pair = pairOf(life, service, key);
      handledAt.delete(pair);
      handledAt.set(pair, nowMs);
      if (handledAt.size <= MAXIMUM_PAIRS) {
        return;
      }
      for (const oldest of handledAt.keys()) {
        handledAt.delete(oldest);
        break;
      }
    },
  };
}

function pairOf(life: string, service: string, key: string): string {
  return `${life} ${service} ${key}`;
}
