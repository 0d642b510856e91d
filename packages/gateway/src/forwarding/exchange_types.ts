/** Types shared by the modules that implement an exchange. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Placement, Route} from '@ibisbeam/decision';
import type {TargetAttempt} from './target_attempt.js';

export interface ExchangeRequest {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly route: Route;
  readonly service: string;
  readonly attemptId: string | undefined;
  readonly affinityKey: string | undefined;
  readonly body: Buffer | undefined;
  readonly arrivedAtMs: number;
  /** Time on the local clock at which the client gives up, if it states one. */
  readonly clientDeadlineMs: number | undefined;
}

export interface RunningAttempt {
  readonly placement: Placement;
  readonly startedAtMs: number;
  /** Estimated requests at the target when the attempt started. */
  readonly inFlightAtStart: number;
  handle?: TargetAttempt;
  sentAtMs?: number;
}
