/** Tracks which entry VMs are live and serving, from their heartbeats. */
import type {TimerService} from '@ibisbeam/library';
import type {DirectoryQuery} from '../core/protocol.js';
import type {VmRecord} from '../peers/messages.js';
import type {PeerMesh} from '../peers/peer_mesh.js';

/** What a VM says of itself. */
export interface VmState {
  /** Whether it accepts clients. */
  readonly isServing: boolean;
  /** Whether it is cut off from targets that others reach. */
  readonly isCutOff: boolean;
  /** Local time at which it last reached a target; undefined if in doubt. */
  readonly reachedTargetsAtMs: number | undefined;
}

export interface VmDirectory {
  recordHeartbeat(vmId: string, state: VmState): void;
  /** VMs heard from within the liveness timeout, this one included. */
  liveVmIds(): readonly string[];
  /** Other VMs heard from within the liveness timeout. */
  livePeers(): readonly VmRecord[];
  /** Live peers without those that are cut off from targets. */
  workingPeers(): readonly VmRecord[];
  /** Live, serving peers that have just reached targets, the newest first. */
  peersReachingTargets(): readonly VmRecord[];
  /**
   * Newest time on the local clock at which a live, serving peer reached a
   * target; undefined if none says so.
   */
  peerReachedTargetsAtMs(): number | undefined;
  /**
   * Returns addresses of serving VMs as HOST:PORT: those in the client's region
   * or, if it has none, those in the home regions of the host's routes, or else
   * those in all regions.
   *
   * @param homeRegions Empty if the host's routes have no homes in common.
   * @param maximumLifetimeMs Upper bound of the returned lifetime.
   */
  resolve(
    query: DirectoryQuery,
    homeRegions: readonly string[],
    maximumLifetimeMs: number,
  ): {readonly addresses: readonly string[]; readonly lifetimeSeconds: number};
}

export interface VmDirectoryOptions {
  readonly self: VmRecord;
  readonly mesh: Pick<PeerMesh, 'peersHeardWithin'>;
  readonly timers: Pick<TimerService, 'nowMs'>;
  isServing(): boolean;
}

/** VMs silent for longer are left out of directory responses. */
const LIVENESS_TIMEOUT_MS = 1_800;
/** Time for which clients may cache a directory response. */
const RESPONSE_LIFETIME_MS = 2_000;
/** What a peer said of the targets that it reaches holds for this time. */
const REACH_LIFETIME_MS = 2_000;
const MAXIMUM_ADDRESSES = 64;
const MILLISECONDS_PER_SECOND = 1_000;

export function createVmDirectory(options: VmDirectoryOptions): VmDirectory {
  const {self, mesh, timers} = options;
  const stateByVmId = new Map<string, VmState>();

  function servingPeers(): readonly VmRecord[] {
    return mesh
      .peersHeardWithin(LIVENESS_TIMEOUT_MS)
      .filter(vm => stateByVmId.get(vm.id)?.isServing === true);
  }

  function candidates(): readonly VmRecord[] {
    const peers = servingPeers();
    return options.isServing() ? [self, ...peers] : peers;
  }

  function reachedAtMs(vm: VmRecord): number {
    return stateByVmId.get(vm.id)?.reachedTargetsAtMs ?? -Infinity;
  }

  function peersReachingTargets(): readonly VmRecord[] {
    const sinceMs = timers.nowMs() - REACH_LIFETIME_MS;
    return servingPeers()
      .filter(vm => reachedAtMs(vm) >= sinceMs)
      .sort((a, b) => reachedAtMs(b) - reachedAtMs(a));
  }

  return {
    recordHeartbeat: (vmId, state) => {
      stateByVmId.set(vmId, state);
    },
    workingPeers: () =>
      mesh
        .peersHeardWithin(LIVENESS_TIMEOUT_MS)
        .filter(vm => stateByVmId.get(vm.id)?.isCutOff !== true),
    peersReachingTargets,
    peerReachedTargetsAtMs: () => {
      let newestMs = timers.nowMs() - REACH_LIFETIME_MS;
      let isKnown = false;
      for (const vm of servingPeers()) {
        const atMs = reachedAtMs(vm);
        if (atMs >= newestMs) {
          newestMs = atMs;
          isKnown = true;
        }
      }
      return isKnown ? newestMs : undefined;
    },
    livePeers: () => mesh.peersHeardWithin(LIVENESS_TIMEOUT_MS),
    liveVmIds: () => [
      self.id,
      ...mesh.peersHeardWithin(LIVENESS_TIMEOUT_MS).map(vm => vm.id),
    ],
    resolve: (query, homeRegions, maximumLifetimeMs) => {
      const all = candidates();
      const inRegion = all.filter(vm => vm.region === query.region);
      const atHome = all.filter(vm => homeRegions.includes(vm.region));
      const chosen = [inRegion, atHome].find(vms => vms.length > 0) ?? all;
      return {
        addresses: chosen
          .slice(0, MAXIMUM_ADDRESSES)
          .map(vm => vm.callerAddress),
        lifetimeSeconds:
          Math.min(RESPONSE_LIFETIME_MS, maximumLifetimeMs) /
          MILLISECONDS_PER_SECOND,
      };
    },
  };
}
