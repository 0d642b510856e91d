/** What the end of an attempt teaches about its target and service. */
import type {AttemptOutcome} from '@ibisbeam/decision';
import type {ForwardingContext} from './context.js';
import type {ExchangeRequest, RunningAttempt} from './exchange_types.js';

export interface AttemptEnd {
  readonly request: ExchangeRequest;
  readonly attempt: RunningAttempt;
  readonly outcome: AttemptOutcome;
  readonly nowMs: number;
  /** Of the request; worked out only where it is needed. */
  fingerprint(): string;
}

export function learnFromAttempt(
  context: ForwardingContext,
  end: AttemptEnd,
): void {
  const {load, crashGuard} = context;
  const {outcome, nowMs} = end;
  const {incarnation: life, entry} = end.attempt.placement.target;
  switch (outcome.kind) {
    case 'answered':
      if (outcome.status >= 500) {
        load.failed(life);
        return;
      }
      learnFromSuccess(context, end);
      return;
    case 'not-executed':
      if (!load.overloaded(life, entry.slots, nowMs)) {
        load.failed(life);
      }
      return;
    case 'not-sent':
      load.unreachable(life, nowMs);
      context.connections.dropIdle(life);
      crashGuard.targetDied(life);
      return;
    case 'broken':
      load.failed(life);
      crashGuard.brokeOff(life, end.fingerprint());
      return;
  }
}

function learnFromSuccess(context: ForwardingContext, end: AttemptEnd): void {
  const {request, attempt, nowMs} = end;
  const {incarnation: life} = attempt.placement.target;
  if (context.crashGuard.isWatching()) {
    context.crashGuard.answered(end.fingerprint());
  }
  learnTimes(context, end, nowMs - (attempt.sentAtMs ?? nowMs));
  if (request.affinityKey !== undefined) {
    const {service, affinityKey} = request;
    context.warmKeys.used(life, service, affinityKey, nowMs);
  }
}

function learnTimes(
  context: ForwardingContext,
  end: AttemptEnd,
  tookMs: number,
): void {
  const {load, times} = context;
  const {request, attempt, nowMs} = end;
  const {route, affinityKey} = request;
  const {target, roundTripMs, expectedMs, delayMs} = attempt.placement;
  const waitMs = attempt.placement.waitMs - delayMs;
  const objectiveMs = route.latencyObjectiveMs;
  const slowness = load.slowdown(target.incarnation);
  const runMs = Math.max(0, tookMs - waitMs - roundTripMs);
  const warm =
    affinityKey === undefined ||
    times.looksWarm(route.name, objectiveMs, runMs, slowness);
  const usualMs = times.expectedMs(route.name, objectiveMs, warm);
  load.delayed(target.incarnation, tookMs - (expectedMs - delayMs), nowMs);
  // With a queue at the target, a long answer tells of the queue.
  const hadSlot = attempt.inFlightBefore < target.entry.slots;
  const ratio = runMs / Math.max(1, usualMs);
  load.answered(target.incarnation, hadSlot ? ratio : undefined);
  if (hadSlot) {
    times.recordDuration(route.name, objectiveMs, warm, runMs / slowness);
  }
}
