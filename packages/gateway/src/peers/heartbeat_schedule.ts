/**
 * Decides which peers a heartbeat goes to. In a large fleet, heartbeats between
 * regions are most of all messages, while a VM needs quick word only of the
 * VMs near it: their clients and its own share a directory.
 */

/** Peers that a message goes to. */
export type Audience =
  | 'all'
  /** Those that need every heartbeat. */
  | 'near'
  /** Those in other regions that have said that they need fewer. */
  | 'far';

/** Time between two regular heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 400;
/** Far peers get each third heartbeat. */
const FAR_INTERVAL_FACTOR = 3;
const FAR_HEARTBEAT_INTERVAL_MS = HEARTBEAT_INTERVAL_MS * FAR_INTERVAL_FACTOR;
/** In a smaller fleet, all peers get every heartbeat. */
const LARGE_FLEET_PEERS = 32;

/** From this number of peers on, a VM hears of most targets too rarely. */
const SPARSE_FLEET_PEERS = 16;

/**
 * Whether the fleet has so many VMs that each of them hears of a target too
 * rarely to know its load.
 */
export function hearsRarelyOfTargets(peerCount: number): boolean {
  return peerCount >= SPARSE_FLEET_PEERS;
}

/** Whether far peers get fewer heartbeats, as `next` has it. */
function isSparse(peerCount: number, isWatcher: boolean): boolean {
  return !isWatcher && peerCount >= LARGE_FLEET_PEERS;
}

/**
 * Longest time until the next regular heartbeat to a far peer. A peer ends a
 * silent link later by what exceeds the usual time.
 *
 * @returns Milliseconds.
 */
export function farHeartbeatWithinMs(
  peerCount: number,
  isWatcher: boolean,
): number {
  return isSparse(peerCount, isWatcher)
    ? FAR_HEARTBEAT_INTERVAL_MS
    : HEARTBEAT_INTERVAL_MS;
}

export interface HeartbeatSchedule {
  /**
   * Called for each regular heartbeat.
   *
   * @param peerCount Number of known peers.
   * @param isWatcher Whether this VM watches the store. The fleet replaces a
   *     watcher that it has not heard of for little more than a second.
   */
  next(peerCount: number, isWatcher: boolean): 'near' | 'all';
}

export function createHeartbeatSchedule(): HeartbeatSchedule {
  let sinceFar = 0;

  return {
    next: (peerCount, isWatcher) => {
      sinceFar += 1;
      const isFarDue = sinceFar >= FAR_INTERVAL_FACTOR;
      if (!isFarDue && isSparse(peerCount, isWatcher)) {
        return 'near';
      }
      sinceFar = 0;
      return 'all';
    },
  };
}
