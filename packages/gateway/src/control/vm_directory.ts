/** Tracks which entry VMs are live and serving, from their heartbeats. */
import type {TimerService} from '@ibisbeam/library';
import type {DirectoryQuery} from '../core/protocol.js';
import type {VmRecord} from '../peers/messages.js';
import type {PeerMesh} from '../peers/peer_mesh.js';

export interface VmDirectory {
  /** @param serving Whether the VM accepts clients. */
  recordHeartbeat(vmId: string, serving: boolean): void;
  /** VMs heard from within the liveness timeout, this one included. */
  liveVmIds(): readonly string[];
  /** Other VMs heard from within the liveness timeout. */
  livePeers(): readonly VmRecord[];
  /** Live peers that accept clients. */
  servingPeers(): readonly VmRecord[];
  /**
   * Returns addresses of serving VMs as HOST:PORT: those in the client's region
   * or, if it has none, those in all regions.
   *
   * @param maximumLifetimeMs Upper bound of the returned lifetime.
   */
  resolve(
    query: DirectoryQuery,
    maximumLifetimeMs: number,
  ): {readonly addresses: readonly string[]; readonly lifetimeSeconds: number};
}

export interface VmDirectoryOptions {
  readonly self: VmRecord;
  readonly mesh: PeerMesh;
  readonly timers: TimerService;
  isServing(): boolean;
}

/** VMs silent for longer are left out of directory responses. */
const LIVENESS_TIMEOUT_MS = 1_800;
/** Time for which clients may cache a directory response. */
const RESPONSE_LIFETIME_MS = 2_000;
const MAXIMUM_ADDRESSES = 64;
const MILLISECONDS_PER_SECOND = 1_000;

export function createVmDirectory(options: VmDirectoryOptions): VmDirectory {
  const {self, mesh} = options;
  const servingByVmId = new Map<string, boolean>();

  function servingPeers(): readonly VmRecord[] {
    return mesh
      .peersHeardWithin(LIVENESS_TIMEOUT_MS)
      .filter(vm => servingByVmId.get(vm.id) === true);
  }

  function candidates(): readonly VmRecord[] {
    const peers = servingPeers();
    return options.isServing() ? [self, ...peers] : peers;
  }

  return {
    recordHeartbeat: (vmId, isServing) => {
      servingByVmId.set(vmId, isServing);
    },
    livePeers: () => mesh.peersHeardWithin(LIVENESS_TIMEOUT_MS),
    servingPeers,
    liveVmIds: () => [
      self.id,
      ...mesh.peersHeardWithin(LIVENESS_TIMEOUT_MS).map(vm => vm.id),
    ],
    resolve: (query, maximumLifetimeMs) => {
      const all = candidates();
      const inRegion = all.filter(vm => vm.region === query.region);
      const chosen = inRegion.length > 0 ? inRegion : all;
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
