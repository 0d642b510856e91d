/** Interface and dependencies of the exchange that handles one request. */
import type {RequestRecord, SteeringEvent} from '@ibisbeam/decision';
import type {Refusal} from '../../core/http/index.js';
import type {TaskContext} from '../../core/kernel/index.js';
import type {SendAttemptAction} from './running_attempt.js';
import type {AttemptSender} from './sender.js';

export interface ExchangeDependencies {
  readonly context: TaskContext;
  readonly sender: AttemptSender;
  /** Passes an event to the steering state machine. */
  step(event: SteeringEvent): void;
  /** Called exactly once, when the request has ended. */
  finished(record: RequestRecord): void;
}

export interface Exchange {
  send(action: SendAttemptAction): void;
  /** Cancels the attempt with this number, unless it has finished. */
  cancel(attempt: number): void;
  refuse(refusal: Refusal): void;
  /** Adds lines to the explanation in the record of the request. */
  explain(lines: readonly string[]): void;
  /** Aborts the request and closes the caller's connection. */
  abort(): void;
}
