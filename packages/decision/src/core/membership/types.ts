/** Events and actions of the membership state machine. */
import type {
  EntryVm,
  Generation,
  Incarnation,
  MembershipView,
  RegionName,
  VmId,
  VmState,
  ZoneName,
} from '../model/index.js';
import type {Heartbeat} from './peer_messages.js';

export interface MembershipOptions {
  readonly vm: VmId;
  readonly region: RegionName;
  readonly zone: ZoneName;
  readonly incarnation: Incarnation;
  /**
   * Unix time in whole seconds at which this incarnation started. It is the
   * first revision, so that updates about an earlier incarnation are outdated.
   */
  readonly startedAtSeconds: number;
  readonly heartbeatIntervalMs: number;
  /** Time without a heartbeat after which a neighbour is suspected. */
  readonly suspectAfterMs: number;
  /** Interval of a delegate's reads of the list; longer in large fleets. */
  readonly listIntervalMs: number;
}

/** An entry of the platform's VM list. */
export interface ListedVm {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly state: 'live' | 'leaving';
}

export type MembershipEvent =
  | {readonly kind: 'started'}
  | {readonly kind: 'configured'; readonly entryVms: Iterable<EntryVm>}
  | {readonly kind: 'peer-connected'; readonly peer: VmId}
  | {readonly kind: 'peer-disconnected'; readonly peer: VmId}
  | {readonly kind: 'beat'; readonly from: VmId; readonly beat: Heartbeat}
  | {readonly kind: 'platform-list'; readonly vms: readonly ListedVm[]}
  /** This VM runs another generation of the configuration. */
  | {readonly kind: 'generation'; readonly generation: Generation}
  | {readonly kind: 'stop-began'}
  | {readonly kind: 'tick'};

export type MembershipAction =
  | {readonly kind: 'send'; readonly to: VmId; readonly beat: Heartbeat}
  /** The complete set of peers to which links should be open. */
  | {readonly kind: 'links-wanted'; readonly peers: readonly VmId[]}
  /** Read the platform's VM list; `platform-list` returns it. */
  | {readonly kind: 'list-vms'}
  | {readonly kind: 'view-changed'; readonly view: MembershipView}
  | {readonly kind: 'note'; readonly note: MembershipNote};

export type MembershipNote =
  | {
      readonly kind: 'vm-state-changed';
      readonly vm: VmId;
      readonly state: VmState;
      readonly incarnation?: Incarnation;
    }
  /**
   * While `doubting`, this VM suspects no other VM, because it was paused or
   * hears no peer.
   */
  | {
      readonly kind: 'self-doubt';
      readonly doubting: boolean;
      readonly cause: 'paused' | 'cut-off' | 'over';
    };

export interface Membership {
  /** Handles an event and returns the actions to perform, in order. */
  step(event: MembershipEvent, nowMs: number): readonly MembershipAction[];
  view(nowMs: number): MembershipView;
}
