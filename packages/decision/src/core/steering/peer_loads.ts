/** What peers last said of their free slots, and the choice of a relay. */
import type {RandomSource, ServiceName, VmId} from '../model/index.js';

export interface PeerLoads {
  heard(
    peer: VmId,
    pools: readonly (readonly [ServiceName, number, number])[],
    nowMs: number,
  ): void;
  /** A relay was sent: the peer has one free slot less. */
  used(peer: VmId, service: ServiceName): void;
  /** The peer refused or could not be reached. */
  avoid(peer: VmId, service: ServiceName, untilMs: number): void;
  /** Free slots of the peer, or undefined if nothing recent is known. */
  free(peer: VmId, service: ServiceName, nowMs: number): number | undefined;
  /** The better of two drawn peers; undefined if all are known to be full. */
  choose(
    peers: readonly VmId[],
    service: ServiceName,
    nowMs: number,
  ): VmId | undefined;
  forget(peer: VmId): void;
}

interface PeerLoad {
  free: number;
  slots: number;
  heardMs: number;
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
      free: 0,
      slots: 0,
      heardMs: -Infinity,
      avoidUntilMs: -Infinity,
    };
    services.set(service, created);
    return created;
  }

  function free(
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
    return nowMs - load.heardMs <= lifetimeMs ? load.free : undefined;
  }

  function choose(
    peers: readonly VmId[],
    service: ServiceName,
    nowMs: number,
  ): VmId | undefined {
    const open = peers.filter(peer => free(peer, service, nowMs) !== 0);
    if (open.length === 0) {
      return undefined;
    }
    const one = open[random.below(open.length)]!;
    const other = open[random.below(open.length)]!;
    const oneFree = free(one, service, nowMs) ?? 1;
    const otherFree = free(other, service, nowMs) ?? 1;
    return otherFree > oneFree ? other : one;
  }

  return {
    heard: (peer, pools, nowMs) => {
      for (const [service, freeSlots, slots] of pools) {
        const load = entry(peer, service);
        load.free = freeSlots;
        load.slots = slots;
        load.heardMs = nowMs;
      }
    },
    used: (peer, service) => {
      const load = loads.get(peer)?.get(service);
      if (load) {
        load.free = Math.max(0, load.free - 1);
      }
    },
    avoid: (peer, service, untilMs) => {
      entry(peer, service).avoidUntilMs = untilMs;
    },
    free,
    choose,
    forget: peer => loads.delete(peer),
  };
}
