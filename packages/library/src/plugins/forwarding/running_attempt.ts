/** State that an exchange keeps for an attempt that has not finished. */
import type {IncomingMessage} from 'node:http';
import type {SteeringAction} from '@ibisbeam/decision';
import type {TimerHandle} from '../../core/timers/index.js';
import type {Attempt} from './attempt.js';

export type SendAttemptAction = Extract<SteeringAction, {kind: 'send-attempt'}>;

export interface RunningAttempt {
  readonly action: SendAttemptAction;
  attempt?: Attempt;
  cancelled: boolean;
  head?: IncomingMessage;
  /** Body chunks received so far, until the response is streamed. */
  bufferedChunks: Buffer[];
  bufferedBytes: number;
  /**
   * The caller disconnected during a long response: its body is read to the end
   * but not kept.
   */
  discarded: boolean;
  timeout?: TimerHandle;
}

export function createRunningAttempt(
  action: SendAttemptAction,
): RunningAttempt {
  return {
    action,
    cancelled: false,
    bufferedChunks: [],
    bufferedBytes: 0,
    discarded: false,
  };
}

export function wasSent(entry: RunningAttempt): boolean {
  return entry.attempt?.wasSent() ?? false;
}
