/** Dependencies and state shared by all exchanges of a gateway. */
import type {
  AffinityPlacement,
  AttemptOutcome,
  ClientRetryDetector,
  Placement,
  RegisteredTarget,
  WindowedRetryBudget,
  ServiceTimes,
  TargetLoad,
  WarmKeys,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';
import type {GatewayProtocol} from '../core/protocol.js';
import type {CrashGuard} from './crash_guard.js';
import type {TargetConnections} from './target_connections.js';
import type {AdmissionQueue} from './admission_queue.js';

export interface FinishedRequest {
  readonly attemptId: string | undefined;
  readonly route: string;
  readonly service: string;
  readonly outcome: string;
  /** 0 if no response was sent. */
  readonly status: number;
  readonly detail: string;
  /** Number of attempts at targets. */
  readonly attempts: number;
  readonly tookMs: number;
  readonly affinityKey: string | undefined;
  /** Chosen target and expected times of the last attempt. */
  readonly lastPlacement: Placement | undefined;
}

export interface ForwardingContext {
  readonly timers: TimerService;
  readonly log: Logger;
  readonly protocol: GatewayProtocol;
  /** Region of this VM. */
  readonly region: string;
  /** Client headers that attempts replace; names in lower case. */
  readonly replacedHeaders: ReadonlySet<string>;
  readonly placement: AffinityPlacement;
  readonly load: TargetLoad;
  readonly times: ServiceTimes;
  readonly warmKeys: WarmKeys;
  readonly retries: WindowedRetryBudget;
  readonly connections: TargetConnections;
  readonly crashGuard: CrashGuard;
  readonly clientPatience: ClientRetryDetector;
  readonly admissionQueue: AdmissionQueue;
  isStopping(): boolean;
  /** Called for each request from a client of this VM. */
  requestArrived(service: string, expectedMs: number, nowMs: number): void;
  /** Retry-After for refused requests. */
  retryAfterMs(service: string): number;
  requestSent(target: RegisteredTarget, nowMs: number): void;
  attemptEnded(service: string, outcome: AttemptOutcome['kind']): void;
  requestFinished(request: FinishedRequest): void;
}
