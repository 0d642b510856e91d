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

export function recordAttempt(
  context: ForwardingContext,
  end: AttemptEnd,
): void {
  const {load, crashGuard} = context;
  const {outcome, nowMs} = end;
  const {life, entry} = end.attempt.placement.target;
  switch (outcome.kind) {
    case 'answered':
      if (outcome.status >= 500) {
        load.failed(life);
        return;
      }
      recordSuccess(context, end);
      return;
    case 'not-executed':
      if (!load.wasFull(life, entry.slots, nowMs)) {
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
      crashGuard.connectionBroken(life, end.fingerprint());
      return;
  }
}

function recordSuccess(context: ForwardingContext, end: AttemptEnd): void {
  const {request, attempt, nowMs} = end;
  const {life} = attempt.placement.target;
  if (context.crashGuard.hasSuspicions()) {
    context.crashGuard.answered(end.fingerprint());
  }
  recordTimes(context, end, nowMs - (attempt.sentAtMs ?? nowMs));
  if (request.affinityKey !== undefined) {
    const {service, affinityKey} = request;
    context.warmKeys.handled(life, service, affinityKey, nowMs);
  }
}

function recordTimes(
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
  const slowness = load.slowness(target.life);
  const runMs = Math.max(0, tookMs - waitMs - roundTripMs);
  const isWarm =
    affinityKey === undefined ||
    times.looksWarm(route.name, objectiveMs, runMs, slowness);
  const typicalMs = times.expectedMs(route.name, objectiveMs, isWarm);
  load.delayed(target.life, tookMs - (expectedMs - delayMs), nowMs);
  // With a queue at the target, a long answer tells of the queue.
  const hadSlot = attempt.inFlightAtStart < target.entry.slots;
  const ratio = runMs / Math.max(1, typicalMs);
  load.answered(target.life, hadSlot ? ratio : undefined);
  if (hadSlot) {
    times.learn(route.name, objectiveMs, isWarm, runMs / slowness);
  }
}
