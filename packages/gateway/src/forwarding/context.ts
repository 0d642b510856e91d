/** What the exchanges of one gateway share. */
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
  /** 0 where no answer was given. */
  readonly status: number;
  readonly detail: string;
  /** Attempts at targets. */
  readonly tried: number;
  readonly tookMs: number;
  readonly affinityKey: string | undefined;
  /** The last placement: where, and what was expected there. */
  readonly placed: Placement | undefined;
}

export interface ForwardingContext {
  readonly timers: TimerService;
  readonly log: Logger;
  readonly protocol: GatewayProtocol;
  /** This VM's region. */
  readonly region: string;
  /** Names in lower case of headers that each attempt sets anew. */
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
  /** A request of this VM's own clients has come. */
  arrived(service: string, expectedMs: number, nowMs: number): void;
  /** When a client that is refused may come back. */
  retryAfterMs(service: string): number;
  noteSent(target: RegisteredTarget, nowMs: number): void;
  attemptEnded(service: string, outcome: AttemptOutcome['kind']): void;
  finished(request: FinishedRequest): void;
}
