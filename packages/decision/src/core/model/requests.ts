/** Facts about requests, attempts and their results, shared by all parts. */
import type {
  RegionName,
  RequestId,
  ServiceName,
  TargetId,
  TeamName,
  VmId,
  WorkspaceName,
} from './identifiers.js';

/**
 * `not-run`: no byte of the request reached a target, or the target itself
 * said that it did not run it. `unknown`: it may have run.
 */
export type Outcome = 'not-run' | 'unknown';

/** Why a request was refused. Also the last part of the problem type URI. */
export type RefusalReason =
  | 'no-configuration'
  | 'configuration-stale'
  | 'unknown-workspace'
  | 'unknown-service'
  | 'unauthenticated'
  | 'not-approved'
  | 'malformed-request'
  | 'request-too-large'
  | 'idempotency-key-missing'
  | 'idempotency-key-reused'
  | 'idempotency-key-in-use'
  | 'claim-unavailable'
  | 'outcome-unknown'
  /** Ran before; its answer was too long to be recorded. */
  | 'answer-not-kept'
  | 'deadline-expired'
  | 'deadline-too-short'
  | 'region-full'
  | 'workspace-share-used'
  | 'shift-cap-reached'
  | 'link-budget-used'
  | 'no-healthy-target'
  | 'retry-budget-used'
  | 'request-quarantined'
  | 'target-failed'
  | 'vm-stopping'
  | 'overloaded';

export interface RequestMetadata {
  readonly id: RequestId;
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly callingTeam: TeamName;
  /** Whether running it twice does what running it once does. */
  readonly idempotent: boolean;
  /** Hash of method, path, workspace and body; equal for a resend. */
  readonly fingerprint: string;
  /** Home region of the caller's block, if the look-up table knows it. */
  readonly homeRegion?: RegionName;
  /** Cohort of the caller's block, 0 to 999; moves with the whole cohort. */
  readonly cohort: number;
  readonly deadlineMs: number;
  /** Set when another entry VM passed the request on to this one. */
  readonly relayedFrom?: {readonly vm: VmId; readonly region: RegionName};
  /** Bytes of the answer as far as known beforehand; for link budgets. */
  readonly expectedResponseBytes?: number;
}

export type AttemptDestination =
  | {readonly kind: 'target'; readonly target: TargetId}
  | {readonly kind: 'relay'; readonly vm: VmId; readonly region: RegionName};

/** How an attempt ended, as the VM saw it. */
export type AttemptResult =
  | {readonly kind: 'answered'; readonly status: number}
  /** The target said that it did not run the request. */
  | {readonly kind: 'shed'; readonly retryAfterMs?: number}
  /** No byte was sent (connection refused, claim lost, caller gone). */
  | {readonly kind: 'not-sent'; readonly cause: string}
  /** Bytes were sent and no whole answer came. */
  | {readonly kind: 'broken'; readonly cause: string}
  | {readonly kind: 'timed-out'}
  | {readonly kind: 'cancelled'; readonly sent: boolean};

/** One finished request, for the journal, the metrics and the burn report. */
export interface RequestRecord {
  readonly request: RequestId;
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly callingTeam: TeamName;
  readonly startedAtMs: number;
  readonly durationMs: number;
  readonly result: 'answered' | 'refused' | 'unknown' | 'caller-gone';
  readonly status: number;
  readonly refusal?: RefusalReason;
  readonly attempts: number;
  readonly destination?: AttemptDestination;
  readonly explanation?: readonly string[];
}
