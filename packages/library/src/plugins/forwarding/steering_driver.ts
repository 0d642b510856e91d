/** Runs the steering state machine and carries out its actions. */
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
  findExchange: (request: RequestId) => Exchange | undefined,
): SteeringDriver {
  const {timers, metrics, logger} = context;
  const pendingEvents: SteeringEvent[] = [];
  let stepping = false;
  let scheduledTick:
    {readonly atMs: number; readonly handle: TimerHandle} | undefined;

  function now(): StepTime {
    return {nowMs: timers.nowMs(), wallMs: timers.wallMs()};
  }

  /** Events raised by actions are queued until these actions are done. */
  function step(event: SteeringEvent): void {
    pendingEvents.push(event);
    if (stepping) {
      return;
    }
    stepping = true;
    try {
      for (
        let next = pendingEvents.shift();
        next;
        next = pendingEvents.shift()
      ) {
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
        findExchange(action.request)?.cancel(action.attempt);
        return;
      case 'refuse': {
        const {reason, outcome, retryAfterMs} = action;
        findExchange(action.request)?.refuse({reason, outcome, retryAfterMs});
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
        scheduleTick(action.nowMs);
        return;
      case 'note':
        reportNote(action.note);
        return;
      default:
        assertNever(action);
    }
  }

  function sendAttempt(
    action: Extract<SteeringAction, {kind: 'send-attempt'}>,
  ): void {
    const {request, attempt} = action;
    const exchange = findExchange(request);
    if (exchange) {
      exchange.send(action);
      return;
    }
    const result = {kind: 'cancelled', sent: false} as const;
    step({kind: 'attempt-finished', request, attempt, result});
  }

  function scheduleTick(atMs: number): void {
    if (scheduledTick && scheduledTick.atMs <= atMs) {
      return;
    }
    scheduledTick?.handle.cancel();
    const handle = timers.at(atMs, () => {
      scheduledTick = undefined;
      step({kind: 'tick'});
    });
    scheduledTick = {atMs, handle};
  }

  function reportNote(note: SteeringNote): void {
    if (note.kind === 'decision') {
      findExchange(note.request)?.explain(note.explanation);
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
    stop: () => scheduledTick?.handle.cancel(),
  };
}
