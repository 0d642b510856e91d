/** Which entry VMs a client may connect to, judged by their heartbeats. */
import type {TimerService} from '@ibisbeam/library';
import type {DirectoryQuery} from '../core/protocol.js';
import type {VmRecord} from '../peers/messages.js';
import type {PeerMesh} from '../peers/peer_mesh.js';

export interface VmDirectory {
  /** A heartbeat came. */
  heard(vmId: string, serving: boolean): void;
  /** VMs whose heartbeats came lately, this one included. */
  living(): readonly string[];
  /** Other VMs whose heartbeats came lately. */
  livingPeers(): readonly VmRecord[];
  answer(
    query: DirectoryQuery,
    longestLifetimeMs: number,
  ): {readonly addresses: readonly string[]; readonly lifetimeSeconds: number};
}

export interface VmDirectoryOptions {
  readonly self: VmRecord;
  readonly mesh: PeerMesh;
  readonly timers: TimerService;
  isServing(): boolean;
}

/** A VM without a heartbeat for so long is not named to clients. */
const LIVING_SPAN_MS = 1_800;
const ANSWER_LIFETIME_MS = 2_000;
const MAXIMUM_ADDRESSES = 64;
const MILLISECONDS_PER_SECOND = 1_000;

export function createVmDirectory(options: VmDirectoryOptions): VmDirectory {
  const {self, mesh} = options;
  const serving = new Map<string, boolean>();

  function candidates(): readonly VmRecord[] {
    const heard = mesh
      .heardWithin(LIVING_SPAN_MS)
      .filter(vm => serving.get(vm.id) === true);
    return options.isServing() ? [self, ...heard] : heard;
  }

  return {
    heard: (vmId, isServing) => {
      serving.set(vmId, isServing);
    },
    livingPeers: () => mesh.heardWithin(LIVING_SPAN_MS),
    living: () => [
      self.id,
      ...mesh.heardWithin(LIVING_SPAN_MS).map(vm => vm.id),
    ],
    answer: (query, longestLifetimeMs) => {
      const all = candidates();
      const near = all.filter(vm => vm.region === query.region);
      const chosen = near.length > 0 ? near : all;
      return {
        addresses: chosen
          .slice(0, MAXIMUM_ADDRESSES)
          .map(vm => vm.callerAddress),
        lifetimeSeconds:
          Math.min(ANSWER_LIFETIME_MS, longestLifetimeMs) /
          MILLISECONDS_PER_SECOND,
      };
    },
  };
}
