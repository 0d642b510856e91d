/** Dependencies and state shared by all exchanges of a gateway. */
import type {IncomingMessage} from 'node:http';
import type {
  AffinityPlacement,
  AttemptOutcome,
  ClientRetryDetector,
  CongestionReports,
  Placement,
  RegisteredTarget,
  Route,
  TargetReach,
  RelayOutcome,
  WindowedRetryBudget,
  TypicalLoad,
  EstimateTrials,
  ServiceTimes,
  SlotTimeShares,
  TargetLoad,
  WarmKeys,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';
import type {InputFault, InputSource} from '../core/input_faults.js';
import type {GatewayProtocol} from '../core/protocol.js';
import type {GracefulStop} from '../graceful_stop.js';
import type {CopyGuard} from '../store/copy_guard.js';
import type {ReachEvidence} from '../target_reach.js';
import type {VmRecord} from '../peers/messages.js';
import type {TargetAvailability} from '../target_availability.js';
import type {TrafficMeter} from '../traffic_meter.js';
import type {CallerIdentity} from '../workspaces/caller_identity.js';
import type {WorkspaceQuotas} from '../workspaces/workspace_quotas.js';
import type {CrashGuard} from './crash_guard.js';
import type {HeldMemory} from './held_memory.js';
import type {TargetConnections} from './target_connections.js';
import type {AdmissionQueue} from './admission_queue.js';
import type {SendScheduler} from './send_scheduler.js';

export interface FinishedRequest {
  readonly attemptId: string | undefined;
  readonly route: string;
  /** Version of the configuration that the route was taken from. */
  readonly configurationVersion: number;
  readonly service: string;
  /** `answered`, `refused` or `client-left`. */
  readonly outcome: string;
  /** 0 if no response was sent. */
  readonly status: number;
  /** Why the request was refused; empty for other outcomes. */
  readonly detail: string;
  /** Undefined if the caller belongs to none. */
  readonly workspace: string | undefined;
  /** Number of attempts at targets. */
  readonly attempts: number;
  readonly tookMs: number;
  /** Time since the last attempt started; undefined without one. */
  readonly sinceLastAttemptMs: number | undefined;
  readonly affinityKey: string | undefined;
  /** Target and expected times of the last attempt; undefined without one. */
  readonly lastPlacement: Placement | undefined;
  /** VM to which the request was relayed last; undefined without a relay. */
  readonly lastPeer: string | undefined;
}

export interface ForwardingContext {
  readonly timers: TimerService;
  readonly log: Logger;
  readonly protocol: GatewayProtocol;
  /** Location of this VM. */
  readonly zone: string;
  readonly region: string;
  /**
   * Names, in lower case, of client headers that are not forwarded: the gateway
   * handles them or sets its own.
   */
  readonly droppedHeaders: ReadonlySet<string>;
  /** As `droppedHeaders`, of answers of targets. */
  readonly droppedAnswerHeaders: ReadonlySet<string>;
  /** As `droppedHeaders`, if callers belong to workspaces. */
  readonly droppedCallerHeaders: ReadonlySet<string>;
  /** Who may send requests, and for which workspace. */
  readonly callers: CallerIdentity;
  readonly quotas: Pick<WorkspaceQuotas, 'admit' | 'refund'>;
  /** Whether API keys that were removed long ago may still be in force here. */
  mayHoldRemovedKeys(): boolean;
  /** What the peer wants to see in requests relayed to it, if anything. */
  relayTokenOf(vmId: string): string | undefined;
  readonly placement: AffinityPlacement;
  readonly targetLoad: TargetLoad;
  /** What peers are told of targets that are full. */
  readonly congestion: Pick<CongestionReports, 'record'>;
  readonly typicalLoad: Pick<TypicalLoad, 'record'>;
  readonly serviceTimes: ServiceTimes;
  /** Requests that are sent although their expected duration is too long. */
  readonly estimateTrials: EstimateTrials;
  /** Slots that are estimated to be free at targets of the service. */
  freeSlots(service: string): number;
  readonly warmKeys: WarmKeys;
  readonly retryBudget: WindowedRetryBudget;
  readonly connections: TargetConnections;
  /** Connections to the caller ports of peers, in one pool. */
  readonly peerConnections: TargetConnections;
  readonly crashGuard: CrashGuard;
  readonly reachEvidence: ReachEvidence;
  readonly clientRetryDetector: ClientRetryDetector;
  readonly admissionQueue: AdmissionQueue;
  readonly slotTimes: SlotTimeShares;
  /** Memory for what is held for callers. */
  readonly heldMemory: HeldMemory;
  /** Whether the targets of the service have no free slots on the average. */
  isContended(service: string): boolean;
  readonly sendScheduler: SendScheduler;
  readonly gracefulStop: Pick<GracefulStop, 'phase' | 'mayBegin'>;
  /** Route of the request in the configuration that is in force now. */
  findRoute(incoming: IncomingMessage): Route | undefined;
  /** Requests are sent only while the copies of the store are confirmed. */
  readonly copyGuard: Pick<CopyGuard, 'state' | 'whenUsable'>;
  /** Whether this VM reaches targets, as far as it can tell. */
  targetReach(): TargetReach;
  /** Other VMs that serve clients and reach targets. */
  relayPeers(): readonly VmRecord[];
  /** Idle connections that this VM may keep to one target of the service. */
  maximumIdleConnections(service: string): number;
  /**
   * Called for each request from a client of this VM.
   *
   * @param expectedMs Mean duration of requests of the route at a target.
   */
  onRequestArrived(service: string, expectedMs: number, nowMs: number): void;
  /** What targets say of themselves. */
  readonly availability: TargetAvailability;
  /**
   * Returns the Retry-After time for refused requests.
   *
   * @param homeRegions The only regions that may run them; empty if any may.
   * @param waitMs Expected wait at the best target; 0 if unknown.
   */
  retryAfterMs(
    service: string,
    homeRegions: readonly string[],
    waitMs: number,
  ): number;
  onRequestSent(target: RegisteredTarget, nowMs: number): void;
  /** @param perSecond Rate limit that the target states; undefined if none. */
  onRateLimitAnswer(
    target: RegisteredTarget,
    perSecond: number | undefined,
  ): void;
  /** Counts the bytes of a body, by where its other end is. */
  readonly recordTraffic: TrafficMeter['record'];
  /** Called for input that is read no further. */
  onRefusedInput(source: InputSource, fault: InputFault): void;
  onAttemptEnded(service: string, outcome: AttemptOutcome['kind']): void;
  /** @param outcome `cancelled` if the request ended first. */
  onRelayEnded(
    service: string,
    outcome: RelayOutcome['kind'] | 'cancelled',
  ): void;
  onRequestFinished(request: FinishedRequest): void;
}
