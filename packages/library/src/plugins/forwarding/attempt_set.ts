/** The attempts of one request that have not finished. */
import type {IncomingMessage} from 'node:http';
import type {AttemptResult, SteeringEvent} from '@ibisbeam/decision';
import type {TimerService} from '../../core/timers/index.js';
import type {ValidatedRequest} from './request_validator.js';
import {
  type RunningAttempt,
  type SendAttemptAction,
  createRunningAttempt,
  wasSent,
} from './running_attempt.js';
import type {AttemptSender} from './sender.js';

export interface AttemptSetOptions {
  readonly request: ValidatedRequest;
  readonly sender: AttemptSender;
  readonly timers: Pick<TimerService, 'at'>;
  /** Passes an event to the steering state machine. */
  step(event: SteeringEvent): void;
  /** From this call on, bytes may reach the server. */
  sent(): void;
  responseStarted(entry: RunningAttempt, head: IncomingMessage): void;
  data(entry: RunningAttempt, chunk: Buffer): void;
  /** Called exactly once for each attempt. */
  finished(entry: RunningAttempt, result: AttemptResult): void;
}

export interface AttemptSet {
  add(action: SendAttemptAction): RunningAttempt;
  start(entry: RunningAttempt): void;
  /** Ends the attempt with this result, unless it has been stopped already. */
  stop(entry: RunningAttempt, result: AttemptResult): void;
  stopAll(result: (sent: boolean) => AttemptResult): void;
  stopOthers(winner: RunningAttempt): void;
  /** Cancels the attempt with this number, unless it has finished. */
  cancel(attempt: number): void;
  /** Removes the attempt and reports its result, unless it has finished. */
  finish(entry: RunningAttempt, result: AttemptResult): void;
}

export function createAttemptSet(options: AttemptSetOptions): AttemptSet {
  const {request, sender, timers, step} = options;
  const {metadata} = request;
  const running = new Map<number, RunningAttempt>();

  function add(action: SendAttemptAction): RunningAttempt {
    const entry = createRunningAttempt(action);
    running.set(action.attempt, entry);
    return entry;
  }

  function finish(entry: RunningAttempt, result: AttemptResult): void {
    const {attempt} = entry.action;
    if (running.get(attempt) !== entry) {
      return;
    }
    running.delete(attempt);
    entry.timeout?.cancel();
    options.finished(entry, result);
  }

  function stop(entry: RunningAttempt, result: AttemptResult): void {
    if (entry.cancelled) {
      return;
    }
    entry.cancelled = true;
    if (entry.attempt) {
      entry.attempt.abandon(result);
      return;
    }
    finish(entry, {kind: 'cancelled', sent: false});
  }

  function start(entry: RunningAttempt): void {
    const {action} = entry;
    if (entry.cancelled) {
      return;
    }
    if (action.deadlineMs < metadata.deadlineMs) {
      entry.timeout = timers.at(action.deadlineMs, () =>
        stop(entry, {kind: 'timed-out'}),
      );
    }
    sender.send(request, action, {
      started: attempt => {
        entry.attempt = attempt;
        if (entry.cancelled) {
          attempt.abandon({kind: 'cancelled', sent: false});
        }
      },
      sent: () => {
        options.sent();
        const {attempt} = action;
        step({kind: 'attempt-sent', request: metadata.id, attempt});
      },
      responseStarted: head => options.responseStarted(entry, head),
      data: chunk => options.data(entry, chunk),
      finished: result => finish(entry, result),
    });
  }

  function stopAll(result: (sent: boolean) => AttemptResult): void {
    for (const entry of [...running.values()]) {
      stop(entry, result(wasSent(entry)));
    }
  }

  function stopOthers(winner: RunningAttempt): void {
    for (const entry of [...running.values()]) {
      if (entry !== winner) {
        stop(entry, {kind: 'cancelled', sent: wasSent(entry)});
      }
    }
  }

  return {
    add,
    start,
    stop,
    stopAll,
    stopOthers,
    finish,
    cancel: attempt => {
      const entry = running.get(attempt);
      if (entry) {
        stop(entry, {kind: 'cancelled', sent: wasSent(entry)});
      }
    },
  };
}
