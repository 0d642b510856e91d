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
  /** Age of the last confirmation above which a configuration is stale. */
  readonly staleAfterMs: number;
  readonly announceIntervalMs: number;
  /**
   * Lower generations are not accepted. Set when the state machine restarts, so
   * that it does not accept an older generation than it had in force before.
   */
  readonly minimumGeneration?: Generation;
}

export type RolloutEvent =
  | {readonly kind: 'started'}
  | {readonly kind: 'peer-connected'; readonly peer: VmId}
  | {readonly kind: 'peer-disconnected'; readonly peer: VmId}
  | {readonly kind: 'membership-changed'; readonly view: MembershipView}
  /** The head in the store as it was at `requestedAtMs` or later. */
  | {
      readonly kind: 'store-head';
      readonly head: ConfigurationHead | undefined;
      readonly requestedAtMs: number;
    }
  | {readonly kind: 'store-failed'}
  | {
      readonly kind: 'chunk-read';
      readonly digest: string;
      /** Undefined if the store did not answer or has no such chunk. */
      readonly text: string | undefined;
    }
  | {
      readonly kind: 'peer-message';
      readonly from: VmId;
      readonly message: ConfigurationPeerMessage;
    }
  | {readonly kind: 'tick'};

/**
 * `starting`: no configuration is in force. The others state what was known
 * within `staleAfterMs`. `current`: the generation in force was confirmed as
 * the newest. `store-away`: peers were heard, but none had a confirmation from
 * the store. `behind`: a newer generation is known and could not be fetched.
 * `cut-off`: neither the store nor a peer was heard.
 */
export type FreshnessCause =
  'starting' | 'current' | 'store-away' | 'behind' | 'cut-off';

export type RolloutAction =
  /** Start or stop watching the head in the store. */
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
      /** False only if the VM must refuse new requests. */
      readonly fresh: boolean;
      readonly cause: FreshnessCause;
    }
  | {readonly kind: 'note'; readonly note: RolloutNote};

export type RolloutNote =
  /** The generation does not compile; the previous one stays in force. */
  | {
      readonly kind: 'rejected';
      readonly generation: Generation;
      readonly problem: string;
    }
  /**
   * The store's generation is lower than the one in force, for example after a
   * restore from a backup.
   */
  | {readonly kind: 'store-behind'; readonly generation: Generation}
  /** A chunk does not match its digest or is no valid section. */
  | {readonly kind: 'bad-chunk'; readonly digest: string};

export interface RolloutStatus {
  readonly generation?: Generation;
  readonly newestHeard?: Generation;
  readonly watching: boolean;
  readonly cause: FreshnessCause;
  /** Milliseconds since the generation was last confirmed as the newest. */
  readonly confirmedAgeMs?: number;
  readonly missingChunks: number;
  readonly document?: ConfigurationDocument;
}

export interface Rollout {
  /** Handles an event and returns the actions to perform, in order. */
  step(event: RolloutEvent, nowMs: number): readonly RolloutAction[];
  status(nowMs: number): RolloutStatus;
}
