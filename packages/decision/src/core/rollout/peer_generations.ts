/** The generation that each linked peer last announced. */
import type {
  Generation,
  MembershipView,
  RegionName,
  VmId,
  ZoneName,
} from '../model/index.js';

export interface PeerGenerations {
  connected(peer: VmId): void;
  disconnected(peer: VmId): void;
  setGeneration(peer: VmId, generation: Generation | undefined): void;
  linked(): Iterable<VmId>;
  /** Returns the peers that run at least this generation, nearest first. */
  sourcesOf(
    generation: Generation,
    view: MembershipView | undefined,
  ): readonly VmId[];
  anyNewerThan(generation: number): boolean;
}

export function createPeerGenerations(location: {
  readonly region: RegionName;
  readonly zone: ZoneName;
}): PeerGenerations {
  const generations = new Map<VmId, Generation | undefined>();

  /** 0 in the same zone, 1 in the same region, 2 elsewhere. */
  function distance(peer: VmId, view: MembershipView | undefined): number {
    const theirs = view?.vms.get(peer);
    if (theirs?.region !== location.region) {
      return 2;
    }
    return theirs.zone === location.zone ? 0 : 1;
  }

  return {
    connected: peer => {
      generations.set(peer, undefined);
    },
    disconnected: peer => {
      generations.delete(peer);
    },
    setGeneration: (peer, generation) => {
      generations.set(peer, generation);
    },
    linked: () => generations.keys(),
    sourcesOf: (generation, view) => {
      const sources: [number, VmId][] = [];
      for (const [peer, theirs] of generations) {
        if (theirs !== undefined && theirs >= generation) {
          sources.push([distance(peer, view), peer]);
        }
      }
      sources.sort(([one], [other]) => one - other);
      return sources.map(([, peer]) => peer);
    },
    anyNewerThan: generation => {
      for (const theirs of generations.values()) {
        if (theirs !== undefined && theirs > generation) {
          return true;
        }
      }
      return false;
    },
  };
}
