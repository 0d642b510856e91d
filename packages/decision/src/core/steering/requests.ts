/** Requests that steering has been given and not yet answered for. */
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
  /** Bytes a second taken from a region link. */
  readonly linkBytesPerSecond: number;
  sent: boolean;
  answering: boolean;
  cancelling: boolean;
}

export interface RequestState {
  readonly facts: RequestMetadata;
  readonly policy: ServicePolicy;
  readonly arrivedMs: number;
  /** Region whose slots the request uses. */
  readonly region: RegionName;
  /** Comes from another region than its own, by a shift or a failover. */
  readonly foreign: boolean;
  /** Running attempts by number. */
  readonly attempts: Map<number, AttemptState>;
  readonly triedTargets: Set<TargetId>;
  readonly triedVms: Set<VmId>;
  attemptsMade: number;
  queued: boolean;
  /** An attempt that has ended may have run it. */
  mayHaveRun: boolean;
  /** Answered for: only the ends of its attempts are awaited. */
  closed: boolean;
  hedgeAtMs: number;
}

export function createRequestState(
  facts: RequestMetadata,
  policy: ServicePolicy,
  region: RegionName,
  foreign: boolean,
  nowMs: number,
): RequestState {
  return {
    facts,
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
