/** What an exchange keeps of an attempt that has not finished. */
import type {IncomingMessage} from 'node:http';
import type {SteeringAction} from '@ibisbeam/decision';
import type {TimerHandle} from '../../core/timers/index.js';
import type {Attempt} from './attempt.js';

export type SendAction = Extract<SteeringAction, {kind: 'send-attempt'}>;

export interface RunningAttempt {
  readonly action: SendAction;
  attempt?: Attempt;
  cancelled: boolean;
  head?: IncomingMessage;
  /** The answer as far as it came, while it is held. */
  bufferedChunks: Buffer[];
  bufferedBytes: number;
  /** The answer is read to its end for its record only; nobody waits. */
  discarded: boolean;
  timeout?: TimerHandle;
}

export function createRunningAttempt(action: SendAction): RunningAttempt {
  return {
    action,
    cancelled: false,
    bufferedChunks: [],
    bufferedBytes: 0,
    discarded: false,
  };
}

export function wasSent(entry: RunningAttempt): boolean {
  return entry.attempt?.sent() ?? false;
}
