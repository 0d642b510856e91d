/** Events and actions of the roll-out state machine. */
import type {
  Configuration,
  ConfigurationDocument,
  Generation,
  MembershipView,
  RegionName,
  VmId,
  ZoneName,
} from '../model/index.js';
import type {ConfigurationPeerMessage} from './peer_messages.js';
import type {ConfigurationHead} from './types.js';

export interface RolloutOptions {
  readonly vm: VmId;
  readonly region: RegionName;
  readonly zone: ZoneName;
  /** Bound on the age of the last confirmation that ours is the newest. */
  readonly staleAfterMs: number;
  readonly announceIntervalMs: number;
  /** Lower generations are not taken; for a part that starts anew. */
  readonly minimumGeneration?: Generation;
}

export type RolloutEvent =
  | {readonly kind: 'started'}
  | {readonly kind: 'peer-connected'; readonly peer: VmId}
  | {readonly kind: 'peer-disconnected'; readonly peer: VmId}
  | {readonly kind: 'membership-changed'; readonly view: MembershipView}
  /** The store's head as it was no earlier than `askedAtMs`. */
  | {
      readonly kind: 'store-head';
      readonly head: ConfigurationHead | undefined;
      readonly requestedAtMs: number;
    }
  | {readonly kind: 'store-failed'}
  | {
      readonly kind: 'chunk-read';
      readonly digest: string;
      /** Absent when the store had no answer. */
      readonly text: string | undefined;
    }
  | {
      readonly kind: 'peer-message';
      readonly from: VmId;
      readonly message: ConfigurationPeerMessage;
    }
  | {readonly kind: 'tick'};

/**
 * `current`: confirmed within the bound. `store-away`: peers are heard, but
 * nobody has reached the store within the bound. `behind`: a newer generation
 * is known and could not be fetched within the bound. `cut-off`: neither the
 * store nor any peer was heard of within the bound.
 */
export type FreshnessCause =
  'starting' | 'current' | 'store-away' | 'behind' | 'cut-off';

export type RolloutAction =
  | {readonly kind: 'watch'; readonly enabled: boolean}
  | {readonly kind: 'read-head'}
  | {readonly kind: 'read-chunk'; readonly digest: string}
  | {
      readonly kind: 'send';
      readonly to: VmId;
      readonly message: ConfigurationPeerMessage;
    }
  | {
      readonly kind: 'in-force';
      readonly configuration: Configuration;
      readonly document: ConfigurationDocument;
    }
  | {
      readonly kind: 'freshness';
      /** False only when the VM must not take new work. */
      readonly fresh: boolean;
      readonly cause: FreshnessCause;
    }
  | {readonly kind: 'note'; readonly note: RolloutNote};

export type RolloutNote =
  /** A generation that does not compile; ours stays in force. */
  | {
      readonly kind: 'rejected';
      readonly generation: Generation;
      readonly problem: string;
    }
  /** The store shows a generation below ours, as after a restored backup. */
  | {readonly kind: 'store-behind'; readonly generation: Generation}
  | {readonly kind: 'bad-chunk'; readonly digest: string};

export interface RolloutStatus {
  readonly generation?: Generation;
  readonly newestHeard?: Generation;
  readonly watching: boolean;
  readonly cause: FreshnessCause;
  /** Since the store is known to have had no newer one, milliseconds. */
  readonly confirmedAgeMs?: number;
  readonly missingChunks: number;
  readonly document?: ConfigurationDocument;
}

export interface Rollout {
  step(event: RolloutEvent, nowMs: number): readonly RolloutAction[];
  status(nowMs: number): RolloutStatus;
}
