/** Types shared by the modules that implement an exchange. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EstimateTrial, Placement, Route} from '@ibisbeam/decision';
import type {ClientAnswer} from '@ibisbeam/library';
import type {VmRecord} from '../peers/messages.js';
import type {Caller} from '../workspaces/caller_identity.js';
import type {RunRecorder} from './crash_guard.js';
import type {RequestMemory} from './held_memory.js';
import type {TargetAttempt} from './target_attempt.js';

export interface ExchangeRequest {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly answer: ClientAnswer;
  readonly route: Route;
  /** Version of the configuration that the route was taken from. */
  readonly configurationVersion: number;
  /** The service that the route's traffic split chose for this request. */
  readonly service: string;
  readonly attemptId: string | undefined;
  /** As identified on arrival. */
  readonly caller: Caller;
  /** Undefined if the route is not sticky or the client sent no key. */
  readonly affinityKey: string | undefined;
  /** Empty for a Content-Length of 0; undefined if no body is announced. */
  readonly body: Buffer | undefined;
  /** Counts what is held for the request until its answer has left. */
  readonly memory: RequestMemory;
  readonly arrivedAtMs: number;
  /** Time on the local clock at which the client gives up, if it states one. */
  readonly clientDeadlineMs: number | undefined;
  /** Time since the client's first attempt, estimated; 0 for a first one. */
  readonly sinceFirstAttemptMs: number;
  /** Whether it has taken an allowance from its workspace's quota here. */
  readonly countsForQuota: boolean;
  /** Whether another VM relays the request. */
  readonly isRelayed: boolean;
  /** Address of the client, also if another VM relays its request. */
  readonly clientAddress: string;
}

interface AttemptProgress {
  readonly startedAtMs: number;
  /** Undefined until the attempt is sent. */
  handle?: TargetAttempt;
  /** Time at which a connection was available; undefined before that. */
  sentAtMs?: number;
  /** Whether the target has answered that it wants no requests for a while. */
  isPauseStated?: boolean;
}

/** An attempt at a target. */
export interface RunningAttempt extends AttemptProgress {
  readonly kind: 'target';
  readonly placement: Placement;
  /** Estimated requests in flight at the target before this attempt started. */
  readonly inFlightAtStart: number;
  /** Present if the expected duration would refuse the request. */
  readonly trial: EstimateTrial | undefined;
  /** Whether it was sent on a connection that had carried others before. */
  isOnPooledConnection?: boolean;
  /** Present once the target may have got the request. */
  run?: RunRecorder;
  /** As in the load report of the answer; absent if the target does not tell. */
  workTimeRatio?: number | undefined;
}

/** An attempt at a peer VM, which forwards the request to targets. */
export interface RunningRelay extends AttemptProgress {
  readonly kind: 'relay';
  readonly peer: VmRecord;
  readonly handle: TargetAttempt;
}
