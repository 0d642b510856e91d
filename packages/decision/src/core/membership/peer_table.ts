/** Heartbeat state and queued updates of each peer. */
import type {VmId} from '../model/index.js';
import {MAXIMUM_UPDATES_PER_HEARTBEAT, type VmUpdate} from './peer_messages.js';
import type {VmRecords} from './records.js';

export interface PeerState {
  linked: boolean;
  lastHeardMs: number;
  lastSentMs: number;
  /** VMs whose updates still have to be sent to this peer. */
  readonly pendingUpdates: Set<VmId>;
  /** Whether the peer's last heartbeat had another digest than this VM. */
  digestDiffers: boolean;
}

export interface PeerTable {
  /** Returns the state of a peer; creates it if it is missing. */
  getOrCreate(vm: VmId, nowMs: number): PeerState;
  get(vm: VmId): PeerState | undefined;
  entries(): Iterable<[VmId, PeerState]>;
  /** Queues the update of a VM for all linked peers except its sender. */
  queueUpdate(vm: VmId, except?: VmId): void;
  /**
   * Removes and returns the updates for one heartbeat: the queued ones first,
   * then, if the digests differ, updates about VMs that are not live.
   */
  takeUpdates(peer: PeerState): readonly VmUpdate[];
  isLinked(vm: VmId): boolean;
  /** Whether any linked peer was heard at or after `sinceMs`. */
  hasHeardSince(sinceMs: number): boolean;
  /**
   * Treats all peers as heard at `nowMs`. Used after a pause of this process,
   * during which it could hear no peer.
   */
  resetLastHeard(nowMs: number): void;
}

export function createPeerTable(
  records: VmRecords,
  updateOf: (vm: VmId) => VmUpdate | undefined,
): PeerTable {
  const peers = new Map<VmId, PeerState>();
  let notLiveIndex = 0;

  function getOrCreate(vm: VmId, nowMs: number): PeerState {
    let peer = peers.get(vm);
    if (!peer) {
      peer = {
        linked: false,
        lastHeardMs: nowMs,
        lastSentMs: Number.NEGATIVE_INFINITY,
        pendingUpdates: new Set(),
        digestDiffers: false,
      };
      peers.set(vm, peer);
    }
    return peer;
  }

  function takeUpdates(peer: PeerState): readonly VmUpdate[] {
    const updates: VmUpdate[] = [];
    for (const vm of peer.pendingUpdates) {
      if (updates.length >= MAXIMUM_UPDATES_PER_HEARTBEAT) {
        return updates;
      }
      peer.pendingUpdates.delete(vm);
      const update = updateOf(vm);
      if (update) {
        updates.push(update);
      }
    }
    if (peer.digestDiffers) {
      addNotLive(updates);
    }
    return updates;
  }

  function addNotLive(updates: VmUpdate[]): void {
    const notLive = records.notLive();
    const room = MAXIMUM_UPDATES_PER_HEARTBEAT - updates.length;
    const count = Math.min(room, notLive.length);
    for (let index = 0; index < count; index += 1) {
      notLiveIndex = (notLiveIndex + 1) % notLive.length;
      updates.push(records.updateOf(notLive[notLiveIndex]!)!);
    }
  }

  return {
    getOrCreate,
    get: vm => peers.get(vm),
    entries: () => peers.entries(),
    queueUpdate: (vm, except) => {
      for (const [id, peer] of peers) {
        if (id !== except && peer.linked) {
          peer.pendingUpdates.add(vm);
        }
      }
    },
    takeUpdates,
    isLinked: vm => peers.get(vm)?.linked === true,
    hasHeardSince: sinceMs => {
      for (const peer of peers.values()) {
        if (peer.linked && peer.lastHeardMs >= sinceMs) {
          return true;
        }
      }
      return false;
    },
    resetLastHeard: nowMs => {
      for (const peer of peers.values()) {
        peer.lastHeardMs = nowMs;
      }
    },
  };
}
