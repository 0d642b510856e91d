/** Requests, attempts and their results. */
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
 * Whether a request that got no response was executed. `not-run`: no byte of it
 * reached a target, or the target reported that it did not execute it.
 * `unknown`: it may have been executed.
 */
export type Outcome = 'not-run' | 'unknown';

/** Why a request was refused; also the last segment of the problem type URI. */
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
  /** Executed earlier, but the response was too large to be recorded. */
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
  /** Whether repeated execution has the same effect as a single one. */
  readonly idempotent: boolean;
  /** Hash of method, path, workspace and body, so equal for a resend. */
  readonly fingerprint: string;
  /** Home region of the caller's block; absent if it is in no block. */
  readonly homeRegion?: RegionName;
  /** Cohort of the caller's block, 0 to 999; shifts move whole cohorts. */
  readonly cohort: number;
  /** Monotonic time. */
  readonly deadlineMs: number;
  /** The entry VM that relayed the request to this one. */
  readonly relayedFrom?: {readonly vm: VmId; readonly region: RegionName};
  /** Estimated size of the response, for the link budgets. */
  readonly expectedResponseBytes?: number;
}

export type AttemptDestination =
  | {readonly kind: 'target'; readonly target: TargetId}
  | {readonly kind: 'relay'; readonly vm: VmId; readonly region: RegionName};

/** How an attempt ended, as the VM observed it. */
export type AttemptResult =
  | {readonly kind: 'answered'; readonly status: number}
  /** The target reported that it did not execute the request. */
  | {readonly kind: 'shed'; readonly retryAfterMs?: number}
  /** No byte was sent (connection refused, claim lost, caller disconnected). */
  | {readonly kind: 'not-sent'; readonly cause: string}
  /** Bytes were sent, but no complete response arrived. */
  | {readonly kind: 'broken'; readonly cause: string}
  | {readonly kind: 'timed-out'}
  | {readonly kind: 'cancelled'; readonly sent: boolean};

/** A finished request, for the event log, the metrics and the burn report. */
export interface RequestRecord {
  readonly request: RequestId;
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly callingTeam: TeamName;
  /** Monotonic time. */
  readonly startedAtMs: number;
  readonly durationMs: number;
  readonly result: 'answered' | 'refused' | 'unknown' | 'caller-gone';
  /** HTTP status of the response to the caller. */
  readonly status: number;
  readonly refusal?: RefusalReason;
  readonly attempts: number;
  readonly destination?: AttemptDestination;
  readonly explanation?: readonly string[];
}
