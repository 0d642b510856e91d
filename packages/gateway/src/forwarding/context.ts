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
import type {AnswerBounds} from '../core/settings.js';
import type {CrashGuard} from './crash_guard.js';
import type {TargetConnections} from './target_connections.js';
import type {AdmissionQueue} from './admission_queue.js';
import type {EndlessCause} from './response_meter.js';
import type {SendScheduler} from './send_scheduler.js';

export interface FinishedRequest {
  readonly attemptId: string | undefined;
  readonly route: string;
  readonly service: string;
  /** `answered`, `refused` or `client-left`. */
  readonly outcome: string;
  /** 0 if no response was sent. */
  readonly status: number;
  /** Why the request was refused; empty for other outcomes. */
  readonly detail: string;
  /** Number of attempts at targets. */
  readonly attempts: number;
  readonly tookMs: number;
  /** Time since the last attempt started; undefined without one. */
  readonly sinceLastAttemptMs: number | undefined;
  readonly affinityKey: string | undefined;
  /** Target and expected times of the last attempt; undefined without one. */
  readonly lastPlacement: Placement | undefined;
}

export interface ForwardingContext {
  readonly timers: TimerService;
  readonly log: Logger;
  readonly protocol: GatewayProtocol;
  readonly answerBounds: AnswerBounds;
  /** Region of this VM. */
  readonly region: string;
  /**
   * Names, in lower case, of client headers that are not forwarded: the gateway
   * handles them or sets its own.
   */
  readonly droppedHeaders: ReadonlySet<string>;
  readonly placement: AffinityPlacement;
  readonly targetLoad: TargetLoad;
  readonly serviceTimes: ServiceTimes;
  readonly warmKeys: WarmKeys;
  readonly retryBudget: WindowedRetryBudget;
  readonly connections: TargetConnections;
  readonly crashGuard: CrashGuard;
  readonly clientRetryDetector: ClientRetryDetector;
  readonly admissionQueue: AdmissionQueue;
  readonly sendScheduler: SendScheduler;
  isStopping(): boolean;
  /** Idle connections that this VM may keep to one target of the service. */
  maximumIdleConnections(service: string): number;
  /**
   * Called for each request from a client of this VM.
   *
   * @param expectedMs Mean duration of requests of the route at a target.
   */
  onRequestArrived(service: string, expectedMs: number, nowMs: number): void;
  /** Returns the Retry-After time for refused requests. */
  retryAfterMs(service: string): number;
  onRequestSent(target: RegisteredTarget, nowMs: number): void;
  /** @param perSecond Rate limit that the target states; undefined if none. */
  onRateLimitAnswer(
    target: RegisteredTarget,
    perSecond: number | undefined,
  ): void;
  onEndlessAnswer(service: string, cause: EndlessCause): void;
  onAttemptEnded(service: string, outcome: AttemptOutcome['kind']): void;
  onRequestFinished(request: FinishedRequest): void;
}
