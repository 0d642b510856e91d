/** Pool loads last received from peers, and the choice of a relay. */
import type {RandomSource, ServiceName, VmId} from '../model/index.js';

export interface PeerLoads {
  recordLoads(
    peer: VmId,
    pools: readonly (readonly [ServiceName, number, number])[],
    nowMs: number,
  ): void;
  /** Subtracts the slot that a relayed request will use at the peer. */
  recordRelay(peer: VmId, service: ServiceName): void;
  /** Treats a peer that refused or failed as full until this time. */
  avoidUntil(peer: VmId, service: ServiceName, untilMs: number): void;
  /** Free slots of the peer, or undefined without a recent pool load. */
  freeSlots(
    peer: VmId,
    service: ServiceName,
    nowMs: number,
  ): number | undefined;
  /**
   * Of two random peers that are not full, the one with more free slots;
   * undefined if all are full.
   */
  choosePeer(
    peers: readonly VmId[],
    service: ServiceName,
    nowMs: number,
  ): VmId | undefined;
  remove(peer: VmId): void;
}

interface PeerLoad {
  freeSlots: number;
  slots: number;
  receivedMs: number;
  avoidUntilMs: number;
}

export function createPeerLoads(
  random: RandomSource,
  lifetimeMs: number,
): PeerLoads {
  const loads = new Map<VmId, Map<ServiceName, PeerLoad>>();

  function entry(peer: VmId, service: ServiceName): PeerLoad {
    const services = loads.get(peer) ?? new Map<ServiceName, PeerLoad>();
    loads.set(peer, services);
    const known = services.get(service);
    if (known) {
      return known;
    }
    const created = {
      freeSlots: 0,
      slots: 0,
      receivedMs: -Infinity,
      avoidUntilMs: -Infinity,
    };
    services.set(service, created);
    return created;
  }

  function freeSlots(
    peer: VmId,
    service: ServiceName,
    nowMs: number,
  ): number | undefined {
    const load = loads.get(peer)?.get(service);
    if (!load) {
      return undefined;
    }
    if (load.avoidUntilMs > nowMs) {
      return 0;
    }
    return nowMs - load.receivedMs <= lifetimeMs ? load.freeSlots : undefined;
  }

  function choose(
    peers: readonly VmId[],
    service: ServiceName,
    nowMs: number,
  ): VmId | undefined {
    const available = peers.filter(
      peer => freeSlots(peer, service, nowMs) !== 0,
    );
    if (available.length === 0) {
      return undefined;
    }
    const first = available[random.below(available.length)]!;
    const second = available[random.below(available.length)]!;
    const firstFree = freeSlots(first, service, nowMs) ?? 1;
    const secondFree = freeSlots(second, service, nowMs) ?? 1;
    return secondFree > firstFree ? second : first;
  }

  return {
    recordLoads: (peer, pools, nowMs) => {
      for (const [service, free, slots] of pools) {
        const load = entry(peer, service);
        load.freeSlots = free;
        load.slots = slots;
        load.receivedMs = nowMs;
      }
    },
    recordRelay: (peer, service) => {
      const load = loads.get(peer)?.get(service);
      if (load) {
        load.freeSlots = Math.max(0, load.freeSlots - 1);
      }
    },
    avoidUntil: (peer, service, untilMs) => {
      entry(peer, service).avoidUntilMs = untilMs;
    },
    freeSlots,
    choosePeer: choose,
    remove: peer => loads.delete(peer),
  };
}
