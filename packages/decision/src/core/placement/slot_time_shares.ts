/**
 * Slot time that each workspace has had of each service lately. Among requests
 * that are equally urgent, the workspace with the least goes first: callers that
 * send much, or send long work, pay with their own share.
 */
export interface SlotTimeShares {
  /** @param slotMs Time for which a request is expected to occupy a slot. */
  record(
    service: string,
    workspace: string,
    slotMs: number,
    nowMs: number,
  ): void;
  /** Slot time in milliseconds, the less the longer ago. */
  used(service: string, workspace: string, nowMs: number): number;
}

interface Usage {
  readonly slotMs: number;
  readonly atMs: number;
}

/** What was used longer ago counts little: callers come and go. */
const DECAY_TIME_MS = 2_000;
/** Usages kept; the least recently used ones are forgotten. */
const MAXIMUM_USAGES = 5_000;

export function createSlotTimeShares(): SlotTimeShares {
  const usages = new Map<string, Usage>();

  function used(service: string, workspace: string, nowMs: number): number {
    const usage = usages.get(keyOf(service, workspace));
    return usage
      ? usage.slotMs * Math.exp((usage.atMs - nowMs) / DECAY_TIME_MS)
      : 0;
  }

  return {
    record: (service, workspace, slotMs, nowMs) => {
      const key = keyOf(service, workspace);
      const total = used(service, workspace, nowMs) + slotMs;
      // Reinserted, so that the map stays ordered from least recently used.
      usages.delete(key);
      usages.set(key, {slotMs: total, atMs: nowMs});
      if (usages.size <= MAXIMUM_USAGES) {
        return;
      }
      for (const oldest of usages.keys()) {
        usages.delete(oldest);
        break;
      }
    },
    used,
  };
}

function keyOf(service: string, workspace: string): string {
  return `${service} ${workspace}`;
}
