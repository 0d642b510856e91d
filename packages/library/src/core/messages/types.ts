/**
 * Messages between the tasks of one VM. `TaskMessages` maps each task to the
 * direct messages that it accepts; a `VmEvent` is published to every task that
 * subscribes to its kind.
 */
import type {
  ClaimDecision,
  ClaimEnd,
  ClaimRequest,
  ClaimsStatus,
  Configuration,
  Generation,
  MembershipView,
  RequestId,
  RequestRecord,
  SteeringNote,
  SteeringStatus,
  TargetId,
  TargetLeavingSource,
  VmId,
} from '@ibisbeam/decision';

/** Channel of a peer link; each is used by one task. */
export type PeerChannel =
  'membership' | 'configuration' | 'steering' | 'claims';

export type VmEvent =
  | {
      readonly kind: 'configuration-in-force';
      readonly configuration: Configuration;
    }
  | {
      readonly kind: 'freshness-changed';
      /** False only if the VM must refuse new requests. */
      readonly fresh: boolean;
      readonly why: string;
    }
  | {readonly kind: 'membership-changed'; readonly view: MembershipView}
  | {
      readonly kind: 'peer-message';
      readonly from: VmId;
      readonly channel: PeerChannel;
      /** Unvalidated; the receiving task checks it against its schema. */
      readonly body: unknown;
    }
  | {readonly kind: 'peer-connected' | 'peer-disconnected'; readonly peer: VmId}
  | {
      readonly kind: 'target-leaving-signal';
      readonly target: TargetId;
      readonly source: TargetLeavingSource;
    }
  | {readonly kind: 'store-reachability'; readonly reachable: boolean}
  | {readonly kind: 'request-finished'; readonly record: RequestRecord}
  | {readonly kind: 'steering-note'; readonly note: SteeringNote}
  /**
   * This VM is stopping: look-ups omit it, and peers are notified. It ends by
   * `endsAtMs` on the monotonic clock.
   */
  | {readonly kind: 'stop-began'; readonly endsAtMs: number};

export type VmEventKind = VmEvent['kind'];

/** State of this VM's configuration. */
export interface ConfigurationStatus {
  readonly generation?: Generation;
  /** Unix time in milliseconds. */
  readonly inForceSinceWallMs?: number;
  /** Newest generation that the store or any peer has reported. */
  readonly newestHeard?: Generation;
  /** Whether this VM watches the head in the store itself. */
  readonly watching: boolean;
  /**
   * Whether the configuration is confirmed as current. Stricter than `fresh` of
   * the event `freshness-changed`, which allows for an unavailable store.
   */
  readonly fresh: boolean;
  /** `current`, or why the configuration is not confirmed as current. */
  readonly why: string;
  readonly document?: ReadonlyMap<string, unknown>;
}

export interface PlatformCallCounts {
  readonly byPurpose: Readonly<
    Record<string, {calls: number; failures: number; bytes: number}>
  >;
}

export interface JournalEntry {
  /** Unix time in milliseconds. */
  readonly atWallMs: number;
  readonly event: string;
  readonly request?: RequestId;
  readonly fields: Readonly<Record<string, unknown>>;
}

type Reply<Answer> = (answer: Answer) => void;

/** Direct messages, by receiving task. */
export interface TaskMessages {
  readonly peer_links:
    | {
        readonly kind: 'send';
        readonly to: VmId;
        readonly channel: PeerChannel;
        readonly body: unknown;
      }
    | {readonly kind: 'set-peers'; readonly peers: readonly VmId[]}
    | {readonly kind: 'status'; readonly reply: Reply<readonly VmId[]>};
  readonly configuration: {
    readonly kind: 'status';
    readonly reply: Reply<ConfigurationStatus>;
  };
  readonly membership: {
    readonly kind: 'view';
    readonly reply: Reply<MembershipView | undefined>;
  };
  readonly claims:
    | {
        readonly kind: 'begin';
        readonly request: ClaimRequest;
        readonly reply: Reply<ClaimDecision>;
      }
    | {
        readonly kind: 'end';
        readonly token: string;
        readonly end: ClaimEnd;
        /** Called once the record is stored, or storing it has failed. */
        readonly reply: Reply<{readonly recorded: boolean}>;
      }
    /**
     * Issues a key whose operation only this incarnation of this VM may run;
     * needs no store.
     */
    | {readonly kind: 'mint-ticket'; readonly reply: Reply<string>}
    | {readonly kind: 'status'; readonly reply: Reply<ClaimsStatus>};
  readonly forwarding:
    | {readonly kind: 'status'; readonly reply: Reply<ForwardingStatus>}
    | {readonly kind: 'lift-quarantine'; readonly fingerprint: string};
  readonly lookup: {
    readonly kind: 'status';
    readonly reply: Reply<LookupStatus>;
  };
  readonly journal: {
    readonly kind: 'query';
    readonly request?: RequestId;
    readonly sinceWallMs?: number;
    readonly limit: number;
    readonly reply: Reply<readonly JournalEntry[]>;
  };
  readonly burn: {
    readonly kind: 'summary';
    readonly reply: Reply<unknown>;
  };
  readonly operator_port: {
    readonly kind: 'status';
    readonly reply: Reply<{readonly address: string}>;
  };
}

export interface ForwardingStatus {
  /** Requests in flight. */
  readonly inFlight: number;
  readonly stopping: boolean;
  readonly steering: SteeringStatus;
  readonly callerAddress: string;
}

export interface LookupStatus {
  readonly generation?: Generation;
  /** Client address blocks in the configuration. */
  readonly blocks: number;
}

export type TaskName = keyof TaskMessages;
