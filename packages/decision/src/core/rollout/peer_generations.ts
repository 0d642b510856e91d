/** The generation that each linked peer last announced. */
import type {
  Generation,
  MembershipView,
  RegionName,
  VmId,
  ZoneName,
} from '../model/index.js';

export interface PeerGenerations {
  addPeer(peer: VmId): void;
  removePeer(peer: VmId): void;
  setGeneration(peer: VmId, generation: Generation | undefined): void;
  linkedPeers(): Iterable<VmId>;
  /** Returns the peers that run at least this generation, nearest first. */
  sourcesOf(
    generation: Generation,
    view: MembershipView | undefined,
  ): readonly VmId[];
  hasNewerThan(generation: number): boolean;
}

export function createPeerGenerations(location: {
  readonly region: RegionName;
  readonly zone: ZoneName;
}): PeerGenerations {
  const generations = new Map<VmId, Generation | undefined>();

  /** 0 in the same zone, 1 in the same region, 2 elsewhere. */
  function distance(peer: VmId, view: MembershipView | undefined): number {
    const peerView = view?.vms.get(peer);
    if (peerView?.region !== location.region) {
      return 2;
    }
    return peerView.zone === location.zone ? 0 : 1;
  }

  return {
    addPeer: peer => {
      generations.set(peer, undefined);
    },
    removePeer: peer => {
      generations.delete(peer);
    },
    setGeneration: (peer, generation) => {
      generations.set(peer, generation);
    },
    linkedPeers: () => generations.keys(),
    sourcesOf: (generation, view) => {
      const sources: [number, VmId][] = [];
      for (const [peer, peerGeneration] of generations) {
        if (peerGeneration !== undefined && peerGeneration >= generation) {
          sources.push([distance(peer, view), peer]);
        }
      }
      sources.sort(([one], [other]) => one - other);
      return sources.map(([, peer]) => peer);
    },
    hasNewerThan: generation => {
      for (const peerGeneration of generations.values()) {
        if (peerGeneration !== undefined && peerGeneration > generation) {
          return true;
        }
      }
      return false;
    },
  };
}
