/** State of the requests in progress and of their attempts. */
import type {SlotToken} from '../capacity/index.js';
import type {
  AttemptDestination,
  RegionName,
  RequestMetadata,
  RequestId,
  ServicePolicy,
  TargetId,
  VmId,
} from '../model/index.js';

export interface AttemptState {
  readonly number: number;
  readonly destination: AttemptDestination;
  readonly deadlineMs: number;
  readonly startedMs: number;
  readonly hedge: boolean;
  readonly token?: SlotToken;
  /** Bandwidth reserved on a region link; 0 if none. */
  readonly linkBytesPerSecond: number;
  sent: boolean;
  /** Whether the response headers arrived. */
  answering: boolean;
  cancelling: boolean;
}

export interface RequestState {
  readonly metadata: RequestMetadata;
  readonly policy: ServicePolicy;
  readonly arrivedMs: number;
  /** Region in which the request runs. */
  readonly region: RegionName;
  /** Whether a shift or failover moved the request here from another region. */
  readonly foreign: boolean;
  /** Running attempts by number. */
  readonly attempts: Map<number, AttemptState>;
  readonly triedTargets: Set<TargetId>;
  readonly triedVms: Set<VmId>;
  attemptsMade: number;
  queued: boolean;
  /** Whether the target of a finished attempt may have run the request. */
  mayHaveRun: boolean;
  /** Answered, refused or cancelled; removed once its attempts have ended. */
  closed: boolean;
  hedgeAtMs: number;
}

export function createRequestState(
  metadata: RequestMetadata,
  policy: ServicePolicy,
  region: RegionName,
  foreign: boolean,
  nowMs: number,
): RequestState {
  return {
    metadata,
    policy,
    arrivedMs: nowMs,
    region,
    foreign,
    attempts: new Map(),
    triedTargets: new Set(),
    triedVms: new Set(),
    attemptsMade: 0,
    queued: false,
    mayHaveRun: false,
    closed: false,
    hedgeAtMs: Infinity,
  };
}

export type RequestTable = Map<RequestId, RequestState>;
