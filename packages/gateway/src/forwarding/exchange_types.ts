/** Types shared by the modules that implement an exchange. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Placement, Route} from '@ibisbeam/decision';
import type {TargetAttempt} from './target_attempt.js';

export interface ExchangeRequest {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly route: Route;
  /** The service that the route's traffic split chose for this request. */
  readonly service: string;
  readonly attemptId: string | undefined;
  /** Undefined if the route is not sticky or the client sent no key. */
  readonly affinityKey: string | undefined;
  /** Empty for a Content-Length of 0; undefined if no body is announced. */
  readonly body: Buffer | undefined;
  readonly arrivedAtMs: number;
  /** Time on the local clock at which the client gives up, if it states one. */
  readonly clientDeadlineMs: number | undefined;
}

export interface RunningAttempt {
  readonly placement: Placement;
  readonly startedAtMs: number;
  /** Estimated requests in flight at the target before this attempt started. */
  readonly inFlightAtStart: number;
  handle?: TargetAttempt;
  /** Time at which a connection was available; undefined before that. */
  sentAtMs?: number;
  /** Whether the target has answered that it wants no requests for a while. */
  isPauseStated?: boolean;
}
