/** What the parts of the decision bench share. */
import type {
  Configuration,
  EntryVm,
  Incarnation,
  MembershipView,
  RandomSource,
  RefusalReason,
  RegionName,
  RequestId,
  ServiceName,
  Steering,
  SteeringAction,
  TargetId,
  TeamName,
  VmId,
  WorkspaceName,
} from '@ibisbeam/decision';
import type {RequestEnd, TraceEvent} from '@ibisbeam/invariants';
import type {SimulatedTarget} from './simulated_target.js';
import type {ClaimFence} from './claim_fence.js';
import type {EventLoop} from './event_loop.js';
import type {Network, Location} from './network.js';

/** What a caller wants done; the same for every resend. */
export interface Operation {
  readonly id: string;
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly callingTeam: TeamName;
  readonly homeRegion: RegionName;
  readonly cohort: number;
  readonly idempotent: boolean;
  /** Time that a warm, healthy target takes. */
  readonly serviceMs: number;
  readonly responseBytes: number;
  readonly crashesTarget: boolean;
  readonly startedMs: number;
  readonly deadlineMs: number;
}

/** How a request ended, as the one who sent it sees it. */
export interface Reply {
  readonly end: RequestEnd;
  readonly status: number;
  readonly retryAfterMs?: number;
}

/** A request as it reaches an entry VM. */
export interface Arrival {
  readonly request: RequestId;
  readonly operation: Operation;
  readonly relayedFrom?: {readonly vm: VmId; readonly region: RegionName};
  readonly onResponseHead: (status: number) => void;
  readonly onReply: (reply: Reply) => void;
}

export interface EntryVmHost {
  readonly vm: EntryVm;
  readonly location: Location;
  up(): boolean;
  /** Of the present life, or of the last one. */
  incarnation(): Incarnation;
  paused(): boolean;
  accept(arrival: Arrival): void;
  /** The sender of the request no longer waits. */
  cancelRequest(request: RequestId): void;
  deliver(event: Parameters<Steering['step']>[0]): void;
  /** Runs actions that the strategy came to outside of a step. */
  perform(actions: readonly SteeringAction[]): void;
  crash(): void;
  boot(view: MembershipView | undefined): void;
  pauseFor(durationMs: number): void;
  steering(): Steering | undefined;
}

/** What a strategy is given for one life of one VM. */
export interface SteeringContext {
  readonly vm: EntryVm;
  readonly incarnation: Incarnation;
  readonly random: RandomSource;
  readonly world: World;
}

/** One way to steer, built fresh for each run. */
export interface Strategy {
  readonly name: string;
  /** Whether the bounds of the promises apply to it. */
  readonly boundsApply: boolean;
  createFactory(): (context: SteeringContext) => Steering;
}

export interface World {
  readonly loop: EventLoop;
  readonly network: Network;
  readonly configuration: Configuration;
  readonly targets: ReadonlyMap<TargetId, SimulatedTarget>;
  readonly hosts: Map<VmId, EntryVmHost>;
  readonly claims: ClaimFence;
  readonly createSteering: (context: SteeringContext) => Steering;
  readonly random: (purpose: string) => RandomSource;
  readonly record: (event: TraceEvent) => void;
  readonly regionUp: (region: RegionName) => boolean;
  readonly setRegionUp: (region: RegionName, up: boolean) => void;
  readonly storeUp: () => boolean;
  readonly setStoreUp: (up: boolean) => void;
  /** How far behind the reports of targets are. */
  readonly reportLagMs: () => number;
  readonly setReportLagMs: (lagMs: number) => void;
}

/** How an operation ended for its caller, after all resends. */
export interface OperationOutcome {
  readonly operation: Operation;
  readonly endedMs: number;
  readonly kind: 'answered' | 'failed' | 'refused' | 'no-answer';
  readonly reason?: RefusalReason;
  /** Requests that the caller sent for it. */
  readonly requests: number;
}
