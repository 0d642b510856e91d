/**
 * What follows the end of an attempt at a target or a peer: the answer is
 * delivered, the request is sent once more, or it is refused.
 */
import {
  type AttemptOutcome,
  type Placement,
  type RelayOutcome,
  type TrialResult,
  assertNever,
  decideAfterRelay,
  decideNextStep,
} from '@ibisbeam/decision';
import {recordEndedAttempt} from './attempt_recording.js';
import type {AttemptStarts} from './attempt_starts.js';
import type {ForwardingContext} from './context.js';
import type {ExchangeState} from './exchange_state.js';
import type {
  ExchangeRequest,
  RunningAttempt,
  RunningRelay,
} from './exchange_types.js';
import {retryAfterMsOf} from './relay_send.js';
import type {Relays} from './relays.js';
import type {RequestIdentity} from './request_identity.js';
import type {TargetResponse} from './target_attempt.js';

export interface AttemptRepeats {
  onAttemptEnd(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    response?: TargetResponse,
  ): void;
  onRelayEnd(
    relay: RunningRelay,
    outcome: RelayOutcome,
    response?: TargetResponse,
  ): void;
  /** Sends the request to a further target, although it may still be answered. */
  startHedge(): void;
  /** Returns false if no peer may take the request. */
  startRelay(): boolean;
}

export interface AttemptRepeatsOptions {
  readonly context: ForwardingContext;
  readonly request: ExchangeRequest;
  readonly state: ExchangeState;
  readonly identity: RequestIdentity;
  readonly starts: AttemptStarts;
  readonly relays: Relays;
  readonly respondByMs: number;
  /** Mean duration of requests of the route at a target. */
  typicalMs(): number;
  /** Whether the dispatch rule would send the request at once. */
  wouldSend(placement: Placement, nowMs: number): boolean;
  /** Decides on the request as if it had just come. */
  dispatchAgain(): void;
  /** @param response Undefined if it is missing. */
  deliver(response: TargetResponse | undefined): void;
  fail(status: number, reason: string, retryAfterMs?: number): void;
  retryAfterMs(): number;
}

export function createAttemptRepeats(
  options: AttemptRepeatsOptions,
): AttemptRepeats {
  const {context, request, state, identity, starts, relays} = options;
  const {respondByMs, deliver, fail, retryAfterMs} = options;
  const {timers, targetLoad, crashGuard, log} = context;
  const {route, service} = request;

  /** Returns false if no target or peer may take the request. */
  function startNextIf(
    isWorthwhile: (placement: Placement, nowMs: number) => boolean,
  ): boolean {
    if (!identity.mayRepeat()) {
      return false;
    }
    if (context.targetReach() === 'cut-off') {
      return startRelay();
    }
    const nowMs = timers.nowMs();
    const placement = starts.choose(nowMs);
    if (!placement || !isWorthwhile(placement, nowMs)) {
      return false;
    }
    if (!context.gracefulStop.mayBegin(placement.expectedMs)) {
      return false;
    }
    starts.start(placement, nowMs);
    return true;
  }

  function canAnswerInTime({expectedMs}: Placement, nowMs: number): boolean {
    return nowMs + expectedMs <= respondByMs;
  }

  function startHedge(): void {
    if (state.possiblyExecuted >= route.maximumAttempts) {
      return;
    }
    // A hedge would end two targets instead of one.
    if (
      crashGuard.hasSuspicions() &&
      crashGuard.isDoubtful(identity.fingerprint())
    ) {
      return;
    }
    if (context.retryBudget.takeRetry(service, timers.nowMs())) {
      startNextIf(() => true);
    }
  }

  function startRelay(): boolean {
    const isQuarantined = identity.crashVerdict() === 'crashes-targets';
    if (context.copyGuard.state() !== 'confirmed' || isQuarantined) {
      return false;
    }
    if (!context.gracefulStop.mayBegin(options.typicalMs())) {
      return false;
    }
    const relay = relays.start();
    if (!relay) {
      return false;
    }
    starts.cancelOverdueCheck();
    state.running.add(relay);
    return true;
  }

  function onAttemptEnd(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    response?: TargetResponse,
  ): void {
    if (state.isFinished || !state.running.delete(attempt)) {
      return;
    }
    const nowMs = timers.nowMs();
    const {target} = attempt.placement;
    targetLoad.recordEnd(target.incarnation);
    attempt.trial?.end(trialResultOf(outcome));
    recordEndedAttempt(context, {
      request,
      attempt,
      outcome,
      response,
      nowMs,
    });
    context.admissionQueue.onSlotFreed(service);
    context.onAttemptEnded(service, outcome.kind);
    if (outcome.kind === 'not-executed') {
      state.possiblyExecuted -= 1;
    }
    if (outcome.kind === 'withheld') {
      state.attemptsStarted -= 1;
    }
    logFailure(attempt, outcome, nowMs);
    const step = decideNextStep(outcome, {
      routeKind: route.kind,
      maximumAttempts: route.maximumAttempts,
      possiblyExecuted: state.possiblyExecuted,
      tried: state.attemptsStarted,
      replayable: true,
      timeLeftMs: respondByMs - nowMs,
    });
    switch (step.kind) {
      case 'deliver':
        deliver(response);
        return;
      case 'try-another':
        onTryAnother(step.costsBudget, outcome, response);
        return;
      case 'fail':
        if (state.running.size > 0) {
          return;
        }
        failWithOutcome(step.status, outcome);
        return;
    }
  }

  function logFailure(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    nowMs: number,
  ): void {
    if (outcome.kind === 'answered' && outcome.status < 500) {
      return;
    }
    log.log('info', 'attempt-failed', {
      request: request.attemptId,
      target: attempt.placement.target.entry.id,
      outcome: outcome.kind,
      detail: 'cause' in outcome ? outcome.cause : outcome.status,
      tookMs: Math.round(nowMs - attempt.startedAtMs),
      ...(outcome.kind === 'broken' ? identity.logFields() : {}),
    });
  }

  function onTryAnother(
    costsBudget: boolean,
    outcome: AttemptOutcome,
    response?: TargetResponse,
  ): void {
    if (state.running.size > 0) {
      return;
    }
    const isAllowed =
      !costsBudget || context.retryBudget.takeRetry(service, timers.nowMs());
    if (outcome.kind === 'withheld' && state.attemptsStarted === 0) {
      options.dispatchAgain();
      return;
    }
    // A refusal usually means that all targets are full.
    const isWorthwhile =
      outcome.kind === 'not-executed' ? options.wouldSend : canAnswerInTime;
    if (isAllowed && startNextIf(isWorthwhile)) {
      return;
    }
    if (outcome.kind === 'answered' && outcome.status !== 503) {
      deliver(response);
      return;
    }
    failWithOutcome(state.possiblyExecuted > 0 ? 502 : 503, outcome);
  }

  function failWithOutcome(status: 502 | 503, outcome: AttemptOutcome): void {
    const isUnconnected = outcome.kind === 'not-sent' && !state.wasSent;
    if (isUnconnected && startRelay()) {
      return;
    }
    const reason =
      'cause' in outcome ? outcome.cause : `target said ${outcome.status}`;
    fail(status, reason, status === 503 ? retryAfterMs() : undefined);
  }

  function onRelayEnd(
    relay: RunningRelay,
    outcome: RelayOutcome,
    response?: TargetResponse,
  ): void {
    if (state.isFinished || !state.running.delete(relay)) {
      return;
    }
    const nowMs = timers.nowMs();
    if (outcome.kind === 'not-executed') {
      state.possiblyExecuted -= 1;
    }
    const step = decideAfterRelay(outcome, {
      routeKind: route.kind,
      maximumAttempts: route.maximumAttempts,
      possiblyExecuted: state.possiblyExecuted,
      tried: relays.tried(),
      replayable: true,
      timeLeftMs: respondByMs - nowMs,
    });
    if (step.kind === 'deliver') {
      deliver(response);
      return;
    }
    if (state.running.size > 0) {
      return;
    }
    if (
      step.kind === 'try-another' &&
      (!step.costsBudget || context.retryBudget.takeRetry(service, nowMs)) &&
      startRelay()
    ) {
      return;
    }
    failAfterRelay(outcome, response);
  }

  function failAfterRelay(
    outcome: RelayOutcome,
    response: TargetResponse | undefined,
  ): void {
    const reason =
      'cause' in outcome ? outcome.cause : `peer said ${outcome.status}`;
    if (state.possiblyExecuted === 0) {
      const statedMs = retryAfterMsOf(response);
      fail(503, reason, statedMs ?? retryAfterMs());
      return;
    }
    const isTimeout =
      outcome.kind === 'failed-at-peer' && outcome.status === 504;
    fail(isTimeout ? 504 : 502, reason);
  }

  return {onAttemptEnd, onRelayEnd, startHedge, startRelay};
}

function trialResultOf(outcome: AttemptOutcome): TrialResult {
  switch (outcome.kind) {
    case 'answered':
      return outcome.status < 500 ? 'answered' : 'unanswered';
    case 'broken':
      return 'unanswered';
    case 'not-executed':
    case 'not-sent':
    case 'withheld':
    case 'unsendable':
      return 'abandoned';
    default:
      return assertNever(outcome);
  }
}
