/** A client's request and its attempts, as the parts of an exchange share them. */
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
  /** Moment until which the client waits. */
  readonly clientDeadlineMs: number | undefined;
}

export interface RunningAttempt {
  readonly placement: Placement;
  readonly startedAtMs: number;
  /** Requests at the target, as far as was known. */
  readonly inFlightAtStart: number;
  handle?: TargetAttempt;
  sentAtMs?: number;
}
