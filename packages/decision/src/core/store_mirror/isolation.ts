/**
 * Detects that a VM may not hear of changes of the store anymore: neither it
 * nor any VM that it hears from reaches the store, and it hears from a minority
 * of the VMs only. If the store is away for all, most VMs still hear each other
 * and go on, since nothing changes; a minority cannot tell.
 */

export interface Contacts {
  /** When the store last answered this VM or a VM that it hears from. */
  readonly confirmedAtMs: number;
  /** Number of other VMs heard from just now. */
  readonly heardPeers: number;
  /** Number of other VMs heard from lately, including those just now. */
  readonly recentPeers: number;
}

export interface IsolationDetector {
  /** Call at regular intervals. */
  observe(contacts: Contacts, nowMs: number): void;
  /** Nothing can be said of the time in which the process did not run. */
  recordPause(nowMs: number): void;
  isIsolated(): boolean;
}

/** Time without a confirmation of the store after which peers are counted. */
const CONFIRMATION_LIFETIME_MS = 3_000;

export function createIsolationDetector(startMs: number): IsolationDetector {
  let observedSinceMs = startMs;
  let knownPeers = 0;
  let isolated = false;

  return {
    observe: ({confirmedAtMs, heardPeers, recentPeers}, nowMs) => {
      if (nowMs - confirmedAtMs <= CONFIRMATION_LIFETIME_MS) {
        knownPeers = recentPeers;
        isolated = false;
        return;
      }
      // A VM that resumes or starts has heard from nobody for a while.
      if (nowMs - observedSinceMs <= CONFIRMATION_LIFETIME_MS) {
        knownPeers = Math.max(knownPeers, recentPeers);
        isolated = false;
        return;
      }
      isolated = (heardPeers + 1) * 2 < knownPeers + 1;
    },
    recordPause: nowMs => {
      observedSinceMs = nowMs;
    },
    isIsolated: () => isolated,
  };
}
