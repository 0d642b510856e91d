/** What each linked peer has said and still has to be told. */
import type {VmId} from '../model/index.js';
import {MAXIMUM_UPDATES_PER_HEARTBEAT, type VmUpdate} from './peer_messages.js';
import type {VmRecords} from './records.js';

export interface PeerState {
  linked: boolean;
  lastHeardMs: number;
  lastSentMs: number;
  /** VMs of which this peer has to be told. */
  readonly pending: Set<VmId>;
  /** Whether the peer's digest differed when it was last heard. */
  differs: boolean;
}

export interface PeerTable {
  of(vm: VmId, nowMs: number): PeerState;
  get(vm: VmId): PeerState | undefined;
  entries(): Iterable<[VmId, PeerState]>;
  /** Every linked peer, except the one that told, has to be told of a VM. */
  spread(vm: VmId, except?: VmId): void;
  /** Updates for one beat: news first, then what the digests differ by. */
  takeUpdates(peer: PeerState): readonly VmUpdate[];
  isLinked(vm: VmId): boolean;
  /** Whether any linked peer was heard since then. */
  heardSince(sinceMs: number): boolean;
  /** After a pause: nobody is silent because this process was. */
  forgiveSilence(nowMs: number): void;
}

export function createPeerTable(
  records: VmRecords,
  updateOf: (vm: VmId) => VmUpdate | undefined,
): PeerTable {
  const peers = new Map<VmId, PeerState>();
  let exceptionIndex = 0;

  function of(vm: VmId, nowMs: number): PeerState {
    let peer = peers.get(vm);
    if (!peer) {
      peer = {
        linked: false,
        lastHeardMs: nowMs,
        lastSentMs: Number.NEGATIVE_INFINITY,
        pending: new Set(),
        differs: false,
      };
      peers.set(vm, peer);
    }
    return peer;
  }

  function takeUpdates(peer: PeerState): readonly VmUpdate[] {
    const updates: VmUpdate[] = [];
    for (const vm of peer.pending) {
      if (updates.length >= MAXIMUM_UPDATES_PER_HEARTBEAT) {
        return updates;
      }
      peer.pending.delete(vm);
      const update = updateOf(vm);
      if (update) {
        updates.push(update);
      }
    }
    if (peer.differs) {
      addExceptions(updates);
    }
    return updates;
  }

  function addExceptions(updates: VmUpdate[]): void {
    const exceptions = records.exceptions();
    const room = MAXIMUM_UPDATES_PER_HEARTBEAT - updates.length;
    const count = Math.min(room, exceptions.length);
    for (let step = 0; step < count; step += 1) {
      exceptionIndex = (exceptionIndex + 1) % exceptions.length;
      updates.push(records.updateOf(exceptions[exceptionIndex]!)!);
    }
  }

  return {
    of,
    get: vm => peers.get(vm),
    entries: () => peers.entries(),
    spread: (vm, except) => {
      for (const [id, peer] of peers) {
        if (id !== except && peer.linked) {
          peer.pending.add(vm);
        }
      }
    },
    takeUpdates,
    isLinked: vm => peers.get(vm)?.linked === true,
    heardSince: sinceMs => {
      for (const peer of peers.values()) {
        if (peer.linked && peer.lastHeardMs >= sinceMs) {
          return true;
        }
      }
      return false;
    },
    forgiveSilence: nowMs => {
      for (const peer of peers.values()) {
        peer.lastHeardMs = nowMs;
      }
    },
  };
}
