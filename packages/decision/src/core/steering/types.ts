/**
 * Events, actions and status of the steering state machine. It reads no clock
 * and performs no I/O: the entry VM passes the time in with each event and
 * carries out the returned actions.
 *
 * Times are in milliseconds. `nowMs` is monotonic and on the same scale as the
 * request deadlines. `wallMs` is Unix time; it is compared with the start times
 * of drains, shifts and failovers.
 */
import type {
  AttemptDestination,
  AttemptResult,
  Configuration,
  MembershipView,
  Outcome,
  RefusalReason,
  RegionName,
  RequestMetadata,
  RequestId,
  ServiceName,
  TargetId,
  VmId,
  WorkspaceName,
} from '../model/index.js';
import type {SteeringPeerMessage} from './peer_messages.js';

export interface StepTime {
  readonly nowMs: number;
  readonly wallMs: number;
}

/** How this VM learned that a target is leaving. */
export type TargetLeavingSource =
  'configuration' | 'platform-list' | 'health-answer' | 'refusal' | 'peer';

/** Load and health as reported by a target; may be stale or wrong. */
export interface TargetReport {
  readonly target: TargetId;
  readonly inFlight: number;
  readonly slots: number;
  readonly healthy: boolean;
  readonly leaving: boolean;
}

export type SteeringEvent =
  | {
      readonly kind: 'configuration-accepted';
      readonly configuration: Configuration;
    }
  /** `fresh`: false while the configuration may be older than its bound. */
  | {readonly kind: 'freshness-changed'; readonly fresh: boolean}
  | {readonly kind: 'membership-changed'; readonly view: MembershipView}
  | {readonly kind: 'request-arrived'; readonly request: RequestMetadata}
  /** Sent before the first byte of an attempt is written. */
  | {
      readonly kind: 'attempt-sent';
      readonly request: RequestId;
      readonly attempt: number;
    }
  /** The response headers arrived; the body starts to use the link. */
  | {
      readonly kind: 'attempt-answering';
      readonly request: RequestId;
      readonly attempt: number;
      readonly status: number;
      readonly contentLength?: number;
    }
  | {
      readonly kind: 'attempt-finished';
      readonly request: RequestId;
      readonly attempt: number;
      readonly result: AttemptResult;
    }
  /** The caller disconnected, or the entry VM ended the request itself. */
  | {readonly kind: 'request-cancelled'; readonly request: RequestId}
  | {readonly kind: 'target-reported'; readonly report: TargetReport}
  | {
      readonly kind: 'target-leaving';
      readonly target: TargetId;
      readonly source: TargetLeavingSource;
    }
  | {
      readonly kind: 'peer-message';
      readonly from: VmId;
      readonly message: SteeringPeerMessage;
    }
  | {readonly kind: 'quarantine-lifted'; readonly fingerprint: string}
  | {readonly kind: 'tick'};

export type SteeringAction =
  | {
      readonly kind: 'send-attempt';
      readonly request: RequestId;
      /** Number of the attempt within the request, starting at 1. */
      readonly attempt: number;
      readonly destination: AttemptDestination;
      readonly deadlineMs: number;
      readonly hedge: boolean;
      /** Bandwidth reserved for the response on the link between regions. */
      readonly paceBytesPerSecond?: number;
    }
  | {
      readonly kind: 'cancel-attempt';
      readonly request: RequestId;
      readonly attempt: number;
    }
  | {
      readonly kind: 'refuse';
      readonly request: RequestId;
      readonly reason: RefusalReason;
      readonly outcome: Outcome;
      readonly retryAfterMs?: number;
    }
  | {
      readonly kind: 'send-to-peer';
      readonly to: VmId;
      readonly message: SteeringPeerMessage;
    }
  /** Requests a tick no later than `nowMs`; overrides a later request. */
  | {readonly kind: 'wake-at'; readonly nowMs: number}
  | {readonly kind: 'note'; readonly note: SteeringNote};

/** Decisions and state changes, for logs, the event journal and metrics. */
export type SteeringNote =
  | {
      readonly kind: 'decision';
      readonly request: RequestId;
      readonly explanation: readonly string[];
    }
  | {
      readonly kind: 'target-left';
      readonly target: TargetId;
      readonly source: TargetLeavingSource;
    }
  | {
      readonly kind: 'target-ejected';
      readonly target: TargetId;
      readonly cause: string;
    }
  | {readonly kind: 'target-restored'; readonly target: TargetId}
  | {
      readonly kind: 'failover-started';
      readonly from: RegionName;
      readonly startedAtWallMs: number;
    }
  | {readonly kind: 'failover-ended'; readonly from: RegionName}
  | {
      readonly kind: 'request-quarantined';
      readonly fingerprint: string;
      readonly targetsLost: number;
    }
  | {readonly kind: 'quarantine-ended'; readonly fingerprint: string}
  | {
      readonly kind: 'slots-lent';
      readonly to: VmId;
      readonly service: ServiceName;
      readonly slots: number;
    }
  | {
      readonly kind: 'slots-borrowed';
      readonly from: VmId;
      readonly service: ServiceName;
      readonly slots: number;
    };

/** Snapshot of the pools, quarantines, failovers and excluded targets. */
export interface SteeringStatus {
  readonly pools: readonly PoolStatus[];
  readonly quarantines: readonly {
    readonly fingerprint: string;
    readonly targetsLost: number;
    /** Monotonic time. */
    readonly untilMs: number;
  }[];
  readonly failovers: readonly {
    readonly from: RegionName;
    readonly startedAtWallMs: number;
    /** Fraction of the region's cohorts that may be served elsewhere. */
    readonly fraction: number;
  }[];
  readonly leavingTargets: readonly TargetId[];
  readonly ejectedTargets: readonly TargetId[];
}

/** This VM's share of one service's slots in its region. */
export interface PoolStatus {
  readonly service: ServiceName;
  readonly region: RegionName;
  /** Slots that this VM may use now: includes borrowed, excludes lent ones. */
  readonly usableSlots: number;
  readonly ownedSlots: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly inFlightByWorkspace: ReadonlyMap<WorkspaceName, number>;
}

export interface Steering {
  /** Never throws, in any order of events; unknown identifiers are ignored. */
  step(event: SteeringEvent, time: StepTime): readonly SteeringAction[];
  status(time: StepTime): SteeringStatus;
}
