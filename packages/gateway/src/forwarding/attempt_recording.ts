/** Updates target load, service times and crash suspicions after an attempt. */
import type {IncomingMessage} from 'node:http';
import {type AttemptOutcome, recordAnswerTimes} from '@ibisbeam/decision';
import {targetDeadlineAtMs} from './attempt_headers.js';
import type {ForwardingContext} from './context.js';
import type {ExchangeRequest, RunningAttempt} from './exchange_types.js';
import {type TargetResponse, isRefusal} from './target_attempt.js';

const MAXIMUM_CHEAP_BODY_BYTES = 4_096;

export interface EndedAttempt {
  readonly request: ExchangeRequest;
  readonly attempt: RunningAttempt;
  readonly outcome: AttemptOutcome;
  readonly response?: TargetResponse | undefined;
  readonly nowMs: number;
}

/**
 * Follows the run that the attempt may have caused.
 *
 * @param isNewConnection Whether the target has just taken the connection.
 * @param fingerprint Computed only on demand; covers the whole body.
 */
export function followRun(
  {crashGuard}: ForwardingContext,
  request: ExchangeRequest,
  attempt: RunningAttempt,
  isNewConnection: boolean,
  fingerprint: () => string,
): void {
  attempt.run = crashGuard.follow({
    incarnation: attempt.placement.target.incarnation,
    expectedMs: attempt.placement.expectedMissMs,
    givesUpAtMs: targetDeadlineAtMs(request),
    fingerprint,
    isNewConnection,
    isCheap: (request.body?.length ?? 0) <= MAXIMUM_CHEAP_BODY_BYTES,
  });
}

export function recordEndedAttempt(
  context: ForwardingContext,
  end: EndedAttempt,
): void {
  const {targetLoad} = context;
  const {outcome, nowMs} = end;
  recordRunEnd(context, end);
  const {target} = end.attempt.placement;
  const {incarnation, entry} = target;
  recordTraffic(context, end);
  // A target that asks for a pause is in order, and has its slots back after it.
  if (end.attempt.isPauseStated) {
    return;
  }
  switch (outcome.kind) {
    case 'answered':
      if (outcome.status >= 500) {
        targetLoad.recordFailure(incarnation, nowMs);
        return;
      }
      recordSuccess(context, end);
      return;
    case 'not-executed':
      if (!targetLoad.recordOverload(incarnation, entry.slots, nowMs)) {
        targetLoad.recordFailure(incarnation, nowMs);
      }
      return;
    case 'not-sent':
      context.reachEvidence.recordConnectionFailure(target);
      if (context.targetReach() === 'cut-off') {
        return;
      }
      targetLoad.recordConnectionFailure(incarnation, nowMs);
      context.connections.closeIdle(incarnation);
      return;
    case 'withheld':
    case 'unsendable':
      return;
    case 'broken':
      if (context.targetReach() === 'cut-off') {
        return;
      }
      targetLoad.recordFailure(incarnation, nowMs);
      if (!outcome.isRefused) {
        context.reachEvidence.recordBrokenConnection(target);
      }
      return;
  }
}

/** Counts only answers that were read whole. */
function recordTraffic(
  {recordTraffic: record}: ForwardingContext,
  {request, attempt, response}: EndedAttempt,
): void {
  const {entry, region} = attempt.placement.target;
  const place = {zone: entry.zone, region};
  if (response?.body.kind === 'whole') {
    record('target-request', place, request.body?.length ?? 0);
    record('target-answer', place, response.body.byteCount);
  }
}

function recordRunEnd(
  context: ForwardingContext,
  {attempt, outcome, response}: EndedAttempt,
): void {
  const {run} = attempt;
  switch (outcome.kind) {
    case 'answered':
      if (response?.body.kind === 'streaming') {
        recordStreamEnd(context, attempt, response.body.stream);
        return;
      }
      run?.answered();
      return;
    case 'not-executed':
      run?.refused();
      return;
    case 'broken':
      if (context.targetReach() === 'cut-off') {
        run?.discard();
        return;
      }
      if (outcome.isRefused) {
        run?.cancelled();
        return;
      }
      run?.broke();
      return;
    case 'not-sent':
    case 'withheld':
    case 'unsendable':
      return;
  }
}

/** The target still works while it sends a long answer. */
function recordStreamEnd(
  context: ForwardingContext,
  {run, placement}: RunningAttempt,
  stream: IncomingMessage,
): void {
  stream.once('end', () => {
    if (stream.complete) {
      run?.answered();
    }
  });
  stream.once('error', error => {
    if (isRefusal(error)) {
      run?.cancelled();
      return;
    }
    run?.broke();
    context.reachEvidence.recordBrokenConnection(placement.target);
  });
  // Without an error before it, this VM has ended it.
  stream.once('close', () => run?.cancelled());
}

function recordSuccess(
  context: ForwardingContext,
  {request, attempt, nowMs}: EndedAttempt,
): void {
  const {route, service, affinityKey} = request;
  recordAnswerTimes(
    context.targetLoad,
    context.serviceTimes,
    {
      route: route.name,
      objectiveMs: route.latencyObjectiveMs,
      hasKey: affinityKey !== undefined,
      placement: attempt.placement,
      tookMs: nowMs - (attempt.sentAtMs ?? nowMs),
      inFlightAtStart: attempt.inFlightAtStart,
      workTimeRatio: attempt.workTimeRatio,
      isTrial: attempt.trial !== undefined,
    },
    nowMs,
  );
  if (affinityKey !== undefined) {
    const {incarnation} = attempt.placement.target;
    context.warmKeys.recordUse(incarnation, service, affinityKey, nowMs);
  }
}
