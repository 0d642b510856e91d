/** Types shared by the modules of the decision bench. */
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
import type {ClaimRegistry} from './claim_registry.js';
import type {EventLoop} from './event_loop.js';
import type {Network, Location} from './network.js';

/** Logical operation of a caller; each resend is a new request for it. */
export interface Operation {
  readonly id: string;
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly callingTeam: TeamName;
  readonly homeRegion: RegionName;
  readonly cohort: number;
  readonly idempotent: boolean;
  /** Service time on a warm, healthy target of average speed. */
  readonly serviceMs: number;
  readonly responseBytes: number;
  readonly crashesTarget: boolean;
  readonly startedMs: number;
  readonly deadlineMs: number;
}

/** End of a request as observed by its sender. */
export interface Reply {
  readonly end: RequestEnd;
  readonly status: number;
  readonly retryAfterMs?: number;
}

/** Request received by an entry VM from a caller or a relaying VM. */
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
  /** The current incarnation, or the last one while the VM is down. */
  incarnation(): Incarnation;
  paused(): boolean;
  accept(arrival: Arrival): void;
  /** Called when the sender has stopped waiting for the request. */
  cancelRequest(request: RequestId): void;
  deliver(event: Parameters<Steering['step']>[0]): void;
  /** Carries out actions that a strategy decided on outside of a step. */
  perform(actions: readonly SteeringAction[]): void;
  crash(): void;
  boot(view: MembershipView | undefined): void;
  pauseFor(durationMs: number): void;
  steering(): Steering | undefined;
}

/** Inputs for the steering of one incarnation of a VM. */
export interface SteeringContext {
  readonly vm: EntryVm;
  readonly incarnation: Incarnation;
  readonly random: RandomSource;
  readonly world: World;
}

/** Steering strategy under comparison. */
export interface Strategy {
  readonly name: string;
  /** Whether violated bounds fail the bench for this strategy. */
  readonly boundsApply: boolean;
  /** Called once per run; the factory is called once per incarnation. */
  createFactory(): (context: SteeringContext) => Steering;
}

/** State and services of one simulated run, shared by all of its components. */
export interface World {
  readonly loop: EventLoop;
  readonly network: Network;
  readonly configuration: Configuration;
  readonly targets: ReadonlyMap<TargetId, SimulatedTarget>;
  readonly hosts: Map<VmId, EntryVmHost>;
  readonly claims: ClaimRegistry;
  readonly createSteering: (context: SteeringContext) => Steering;
  readonly random: (purpose: string) => RandomSource;
  readonly record: (event: TraceEvent) => void;
  readonly regionUp: (region: RegionName) => boolean;
  readonly setRegionUp: (region: RegionName, up: boolean) => void;
  readonly storeUp: () => boolean;
  readonly setStoreUp: (up: boolean) => void;
  /** Delay of the target reports. */
  readonly reportLagMs: () => number;
  readonly setReportLagMs: (lagMs: number) => void;
}

/** Final outcome of an operation for its caller, after all resends. */
export interface OperationOutcome {
  readonly operation: Operation;
  readonly endedMs: number;
  readonly kind: 'answered' | 'failed' | 'refused' | 'no-answer';
  readonly reason?: RefusalReason;
  /** Number of requests sent, including resends. */
  readonly requests: number;
}
