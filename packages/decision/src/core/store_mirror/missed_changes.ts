/**
 * Detects from the versions that peers state that a copy of the store lacks
 * changes. Changes travel over links between VMs and are sent once: those sent
 * while a VM had no link, or did not read it, never arrive.
 */

/** `delayed`: the changes may still be on their way over another link. */
export type CopyLag = 'none' | 'delayed' | 'missed';

export interface MissedChanges {
  /** Compares a peer's copy with this VM's, and tells what the latter lacks. */
  observe(peerVersion: number, ownVersion: number, nowMs: number): CopyLag;
  isCurrent(): boolean;
  /** Time for which this VM's copy has been older than a peer's; 0 if not. */
  behindMs(nowMs: number): number;
}

/** Changes take longer than this only if their link has failed. */
const DELIVERY_GRACE_MS = 300;

export function createMissedChanges(): MissedChanges {
  let newestVersion = -Infinity;
  let behindSinceMs: number | undefined;

  function behindMs(nowMs: number): number {
    return behindSinceMs === undefined ? 0 : nowMs - behindSinceMs;
  }

  return {
    observe: (peerVersion, ownVersion, nowMs) => {
      newestVersion = Math.max(newestVersion, peerVersion);
      if (ownVersion >= newestVersion) {
        behindSinceMs = undefined;
      }
      if (ownVersion >= peerVersion) {
        return 'none';
      }
      behindSinceMs ??= nowMs;
      return behindMs(nowMs) < DELIVERY_GRACE_MS ? 'delayed' : 'missed';
    },
    isCurrent: () => behindSinceMs === undefined,
    behindMs,
  };
}
