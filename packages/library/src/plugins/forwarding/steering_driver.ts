/** Steps the steering state machine and carries out what it asks for. */
import {
  type RequestId,
  type Steering,
  type SteeringAction,
  type SteeringEvent,
  type SteeringNote,
  type StepTime,
  assertNever,
} from '@ibisbeam/decision';
import type {TaskContext} from '../../core/kernel/index.js';
import type {TimerHandle} from '../../core/timers/index.js';
import type {Exchange} from './exchange_types.js';

export interface SteeringDriver {
  step(event: SteeringEvent): void;
  status(): ReturnType<Steering['status']>;
  stop(): void;
}

export function createSteeringDriver(
  context: TaskContext,
  steering: Steering,
  exchangeOf: (request: RequestId) => Exchange | undefined,
): SteeringDriver {
  const {timers, metrics, logger} = context;
  const waiting: SteeringEvent[] = [];
  let stepping = false;
  let wake: {readonly atMs: number; readonly handle: TimerHandle} | undefined;

  function now(): StepTime {
    return {nowMs: timers.nowMs(), wallMs: timers.wallMs()};
  }

  /** Events that actions bring about wait until the actions are done. */
  function step(event: SteeringEvent): void {
    waiting.push(event);
    if (stepping) {
      return;
    }
    stepping = true;
    try {
      for (let next = waiting.shift(); next; next = waiting.shift()) {
        for (const action of steering.step(next, now())) {
          perform(action);
        }
      }
    } finally {
      stepping = false;
    }
  }

  function perform(action: SteeringAction): void {
    switch (action.kind) {
      case 'send-attempt':
        sendAttempt(action);
        return;
      case 'cancel-attempt':
        exchangeOf(action.request)?.cancel(action.attempt);
        return;
      case 'refuse': {
        const {reason, outcome, retryAfterMs} = action;
        exchangeOf(action.request)?.refuse({reason, outcome, retryAfterMs});
        return;
      }
      case 'send-to-peer':
        context.post('peer_links', {
          kind: 'send',
          to: action.to,
          channel: 'steering',
          body: action.message,
        });
        return;
      case 'wake-at':
        wakeAt(action.nowMs);
        return;
      case 'note':
        noted(action.note);
        return;
      default:
        assertNever(action);
    }
  }

  function sendAttempt(
    action: Extract<SteeringAction, {kind: 'send-attempt'}>,
  ): void {
    const {request, attempt} = action;
    const exchange = exchangeOf(request);
    if (exchange) {
      exchange.send(action);
      return;
    }
    const result = {kind: 'cancelled', sent: false} as const;
    step({kind: 'attempt-finished', request, attempt, result});
  }

  function wakeAt(atMs: number): void {
    if (wake && wake.atMs <= atMs) {
      return;
    }
    wake?.handle.cancel();
    const handle = timers.at(atMs, () => {
      wake = undefined;
      step({kind: 'tick'});
    });
    wake = {atMs, handle};
  }

  function noted(note: SteeringNote): void {
    if (note.kind === 'decision') {
      exchangeOf(note.request)?.explain(note.explanation);
      return;
    }
    metrics.emit({
      kind: 'count',
      name: 'steering.notes',
      tags: {note: note.kind},
    });
    logger.log('info', 'steering-note', {...note, note: note.kind});
    context.publish({kind: 'steering-note', note});
  }

  return {
    step,
    status: () => steering.status(now()),
    stop: () => wake?.handle.cancel(),
  };
}
