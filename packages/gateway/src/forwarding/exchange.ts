/**
 * One client request, from arrival to final response: decides when it is sent,
 * waits or is refused, and ends it once. A VM that reaches no targets relays the
 * request to a peer. The attempts are in `attempt_starts.ts`, what follows their
 * ends in `attempt_repeats.ts`, the delivery in `answer_delivery.ts`.
 */
import {
  type DispatchDecision,
  type EstimateTrial,
  type Placement,
  type PoolAvailability,
  type RefusalCause,
  decideDispatch,
  isRetryable,
  maximumHoldMs,
} from '@ibisbeam/decision';
import type {DecisionScope} from '@ibisbeam/library';
import type {QueuedRequest} from './admission_queue.js';
import {createAnswerDelivery} from './answer_delivery.js';
import {createAttemptRepeats} from './attempt_repeats.js';
import {createAttemptStarts} from './attempt_starts.js';
import type {ForwardingContext} from './context.js';
import {createExchangeState} from './exchange_state.js';
import type {ExchangeRequest, RunningAttempt} from './exchange_types.js';
import {homeRegionsInForce} from './home_regions.js';
import {createRelays} from './relays.js';
import {createRequestIdentity} from './request_identity.js';
import {
  STOPPING_REASON,
  STOPPING_RETRY_AFTER_MS,
  refuse,
} from './response_delivery.js';
import type {TargetResponse} from './target_attempt.js';

/** Retry-After for quarantined requests, which are not worth repeating soon. */
const QUARANTINE_RETRY_AFTER_MS = 30_000;
const QUARANTINE_REASON = 'requests like this one crashed targets';
/** Time in which the run of a suspected request usually ends. */
const CONTAINED_RETRY_AFTER_MS = 1_000;
const CONTAINED_REASON = 'a request like this one may be crashing a target';
const KEY_REMOVED_REASON = 'the API key has been removed from its workspace';
/** Network time of a request and its response between client and VM. */
const CLIENT_ROUND_TRIP_MS = 16;
/** Time reserved to send the final response before the client's deadline. */
const RESPONSE_MARGIN_MS = 10;
/** Why a request is refused if no target may take it. */
const REASON_BY_POOL: Readonly<Record<PoolAvailability['kind'], string>> = {
  open: 'no target has room',
  resuming: 'no target has room',
  pausing: 'all targets ask for a pause',
  leaving: 'all targets are leaving',
};

/** Handles the request until it is answered or the client disconnects. */
export function startExchange(
  context: ForwardingContext,
  request: ExchangeRequest,
): void {
  const {timers, targetLoad, crashGuard, log} = context;
  const {route, incoming, outgoing, answer, service, caller} = request;
  const workspaceName =
    caller.kind === 'workspace' ? caller.workspace.name : undefined;
  const routeTimeoutAtMs = request.arrivedAtMs + route.timeoutMs;
  const respondByMs = Math.min(
    routeTimeoutAtMs,
    (request.clientDeadlineMs ?? Infinity) - RESPONSE_MARGIN_MS,
  );
  const clientSocket = incoming.socket;
  const state = createExchangeState();
  const identity = createRequestIdentity(context, request);
  const competition = competitionOf(context, request);
  const delivery = createAnswerDelivery(context, request, {
    respondByMs,
    onDecided: status => finish('answered', status),
    onBrokenOff: logBrokenOff,
  });
  const relays = createRelays(context, request, respondByMs, {
    decideLongAnswer: delivery.decide,
    onSent: relay => starts.recordSent(relay),
    onEnd: (relay, outcome, response) =>
      repeats.onRelayEnd(relay, outcome, response),
  });
  const starts = createAttemptStarts({
    context,
    request,
    state,
    identity,
    workspace: competition.workspace,
    decideLongAnswer: delivery.decide,
    onEnd: (attempt, outcome, response) =>
      repeats.onAttemptEnd(attempt, outcome, response),
    onOverdue: () => {
      if (isRetryable(route.kind)) {
        repeats.startHedge();
      }
    },
  });
  const repeats = createAttemptRepeats({
    context,
    request,
    state,
    identity,
    starts,
    relays,
    respondByMs,
    typicalMs,
    wouldSend: (placement, nowMs) =>
      decide(placement, nowMs, false).kind === 'send',
    dispatchAgain: begin,
    deliver,
    fail,
    retryAfterMs,
  });
  const timeoutTimer = timers.at(respondByMs, onTimeout);

  function finish(outcome: string, status: number, detail = ''): void {
    state.isFinished = true;
    refundQuota(outcome);
    timeoutTimer.cancel();
    starts.cancelOverdueCheck();
    const hadAttempts = state.running.size > 0;
    for (const attempt of state.running) {
      attempt.handle?.cancel();
      if (attempt.kind === 'target') {
        targetLoad.recordEnd(attempt.placement.target.incarnation);
        attempt.trial?.end(
          outcome === 'client-left' ? 'abandoned' : 'unanswered',
        );
        attempt.run?.cancelled();
        logCancelledAttempt(attempt, outcome, status);
      }
    }
    state.running.clear();
    context.admissionQueue.remove(queuedRequest);
    if (hadAttempts) {
      context.admissionQueue.onSlotFreed(service);
    }
    const nowMs = timers.nowMs();
    context.onRequestFinished({
      attemptId: request.attemptId,
      route: route.name,
      configurationVersion: request.configurationVersion,
      service,
      outcome,
      status,
      detail,
      workspace: workspaceName,
      attempts: state.attemptsStarted,
      tookMs: nowMs - request.arrivedAtMs,
      sinceLastAttemptMs:
        state.lastAttemptAtMs === undefined
          ? undefined
          : nowMs - state.lastAttemptAtMs,
      affinityKey: request.affinityKey,
      lastPlacement: state.lastPlacement,
      lastPeer: relays.lastPeer(),
    });
  }

  /** What no target has run does not count against the quota. */
  function refundQuota(outcome: string): void {
    const hasRun = outcome === 'answered' || state.possiblyExecuted > 0;
    if (workspaceName !== undefined && request.countsForQuota && !hasRun) {
      context.quotas.refund(workspaceName);
    }
  }

  /** Its target may go on with the request. */
  function logCancelledAttempt(
    attempt: RunningAttempt,
    outcome: string,
    status: number,
  ): void {
    if (attempt.sentAtMs === undefined) {
      return;
    }
    log.log('info', 'attempt-cancelled', {
      request: request.attemptId,
      target: attempt.placement.target.entry.id,
      outcome,
      status,
      sinceSentMs: Math.round(timers.nowMs() - attempt.sentAtMs),
      ...identity.logFields(),
    });
  }

  /** Returns whether the request was refused. */
  function refuseIfSuspected(): boolean {
    switch (identity.crashVerdict()) {
      case 'clear':
        return false;
      case 'contained':
        if (crashGuard.mayTest(identity.fingerprint())) {
          return false;
        }
        fail(503, CONTAINED_REASON, CONTAINED_RETRY_AFTER_MS);
        return true;
      case 'crashes-targets':
        fail(503, QUARANTINE_REASON, QUARANTINE_RETRY_AFTER_MS);
        return true;
    }
  }

  function fail(status: number, reason: string, retryAfterMs?: number): void {
    finish('refused', status, reason);
    answer.write(() => refuse(outgoing, status, reason, retryAfterMs));
  }

  function homeRegions(): readonly string[] {
    return homeRegionsInForce(context, request) ?? route.homeRegions;
  }

  function retryAfterMs(): number {
    if (!context.gracefulStop.mayBegin(0)) {
      return STOPPING_RETRY_AFTER_MS;
    }
    return context.retryAfterMs(service, homeRegions(), state.expectedWaitMs);
  }

  /** Returns whether an answer that was held is delivered now. */
  function reviewLongAnswers(): boolean {
    for (const {handle} of state.running) {
      if (handle?.reviewLongAnswer()) {
        return true;
      }
    }
    return false;
  }

  function onTimeout(): void {
    if (reviewLongAnswers()) {
      return;
    }
    starts.distrustSilentConnections();
    if (state.possiblyExecuted > 0) {
      fail(504, 'no answer in time');
      return;
    }
    fail(503, 'no target in time', retryAfterMs());
  }

  /** While this VM stops: ends the request if its answer is not awaited. */
  function onDecisionDue(scope: DecisionScope): void {
    if (scope === 'unsent' && state.running.size > 0) {
      return;
    }
    if (state.possiblyExecuted > 0) {
      fail(504, 'this VM stops before the answer');
      return;
    }
    failAsStopping();
  }

  function failAsStopping(): void {
    fail(503, STOPPING_REASON, STOPPING_RETRY_AFTER_MS);
  }

  function onClientLeft(): void {
    if (!state.isFinished) {
      finish('client-left', 0);
    }
  }

  /** Mean duration of requests of the route at a target. */
  function typicalMs(): number {
    return context.serviceTimes.meanMs(route.name, route.latencyObjectiveMs);
  }

  function deliver(response: TargetResponse | undefined): void {
    if (!response) {
      fail(502, 'the answer is missing');
      return;
    }
    if (response.body.kind === 'streaming') {
      // Its run may break off later than the body of the request is kept.
      identity.fingerprint();
    }
    if (response.body.kind === 'whole' && relays.tried() === 0) {
      context.serviceTimes.recordResponseBytes(
        route.name,
        response.body.byteCount,
      );
    }
    delivery.deliver(response);
  }

  function logBrokenOff(): void {
    const sentAtMs = state.lastAttemptAtMs ?? request.arrivedAtMs;
    log.log('info', 'answer-broken-off', {
      request: request.attemptId,
      target: state.lastPlacement?.target.entry.id,
      peer: relays.lastPeer(),
      sinceSentMs: Math.round(timers.nowMs() - sentAtMs),
      behind: answer.requestsBehind(),
    });
  }

  answer.onClientLeft(onClientLeft);
  answer.onTurn(reviewLongAnswers);
  answer.onDecisionDue(onDecisionDue);
  // The VM that a client has asked counts what its clients bring.
  if (!request.isRelayed) {
    context.retryBudget.recordRequest(service, request.arrivedAtMs);
    context.onRequestArrived(service, typicalMs(), request.arrivedAtMs);
  }
  const elapsedMs = request.sinceFirstAttemptMs;
  const queuedRequest: QueuedRequest = {
    service,
    holdUntilMs:
      request.arrivedAtMs + maximumHoldMs(respondByMs - request.arrivedAtMs),
    urgency: 'in-time',
    ...competition,
    tryDispatch: () => state.isFinished || dispatch() !== 'hold',
  };

  function isOutranked(): boolean {
    const {priority} = queuedRequest;
    return context.admissionQueue.hasAheadOf(service, priority);
  }

  /** @param isYielding Whether it leaves the slot to more urgent requests. */
  function decide(
    placement: Placement,
    nowMs: number,
    isYielding: boolean,
  ): DispatchDecision {
    const heldMs = nowMs - request.arrivedAtMs;
    return decideDispatch({
      expectedMs: placement.expectedMs,
      waitMs: placement.waitMs,
      queueMs: placement.waitMs - placement.delayMs,
      objectiveMs: route.latencyObjectiveMs,
      objectiveLeftMs:
        route.latencyObjectiveMs - CLIENT_ROUND_TRIP_MS - elapsedMs - heldMs,
      deadlineLeftMs: respondByMs - nowMs,
      heldMs,
      clientTimeoutMs: respondByMs - request.arrivedAtMs,
      isRetry: elapsedMs > 0,
      isOutranked: isYielding,
      isContended: context.isContended(service),
      isWarm: placement.warm,
    });
  }

  /** Sends or refuses the request; returns 'hold' if it has to wait. */
  function dispatch(): 'done' | 'hold' {
    if (refuseIfSuspected()) {
      return 'done';
    }
    if (!identity.isCallerCurrent()) {
      fail(401, KEY_REMOVED_REASON);
      return 'done';
    }
    if (!context.gracefulStop.mayBegin(0)) {
      failAsStopping();
      return 'done';
    }
    if (context.copyGuard.state() === 'unconfirmed') {
      return 'hold';
    }
    if (context.targetReach() === 'cut-off') {
      if (!repeats.startRelay()) {
        fail(503, 'cut off from targets', retryAfterMs());
      }
      return 'done';
    }
    const nowMs = timers.nowMs();
    const placement = starts.choose(nowMs);
    if (placement && !context.gracefulStop.mayBegin(placement.expectedMs)) {
      failAsStopping();
      return 'done';
    }
    if (!placement) {
      // Targets that took no connection are avoided for a while.
      if (context.targetReach() === 'suspect' && repeats.startRelay()) {
        return 'done';
      }
      return holdOrRefuse(nowMs);
    }
    const decision = decide(placement, nowMs, isOutranked());
    switch (decision.kind) {
      case 'send':
        starts.start(placement, nowMs);
        return 'done';
      case 'hold':
        queuedRequest.urgency = decision.urgency;
        return 'hold';
      case 'refuse': {
        const trial = beginTrial(decision.because, placement, nowMs);
        if (trial) {
          starts.start(placement, nowMs, trial);
          return 'done';
        }
        state.expectedWaitMs = placement.waitMs;
        fail(503, 'no slot in time', retryAfterMs());
        return 'done';
      }
    }
  }

  /** Whether the refusal rests on an estimate that is due for a sample. */
  function beginTrial(
    cause: RefusalCause,
    {target, inFlight}: Placement,
    nowMs: number,
  ): EstimateTrial | undefined {
    if (cause !== 'too-slow' || inFlight >= target.entry.slots) {
      return undefined;
    }
    return context.estimateTrials.tryBegin(
      route.name,
      () => context.freeSlots(service),
      nowMs,
    );
  }

  /** Without a target, waits only for targets that are back from a pause. */
  function holdOrRefuse(nowMs: number): 'done' | 'hold' {
    const pool = context.availability.poolOf(service, homeRegions());
    if (pool.kind === 'resuming' && nowMs < queuedRequest.holdUntilMs) {
      return 'hold';
    }
    fail(503, REASON_BY_POOL[pool.kind], retryAfterMs());
    return 'done';
  }

  function begin(): void {
    if (dispatch() === 'hold') {
      context.admissionQueue.add(queuedRequest);
    }
  }

  if (outgoing.destroyed || clientSocket.readableEnded) {
    finish('client-left', 0);
    return;
  }
  if (refuseIfSuspected()) {
    return;
  }
  context.sendScheduler.schedule(() => {
    if (!state.isFinished) {
      begin();
    }
  });
}

/** What decides who goes first, where callers belong to workspaces. */
function competitionOf(
  {serviceTimes}: ForwardingContext,
  {caller, route}: ExchangeRequest,
): Pick<QueuedRequest, 'priority' | 'workspace' | 'slotMs'> {
  const slotMs = serviceTimes.meanMs(route.name, route.latencyObjectiveMs);
  switch (caller.kind) {
    case 'any':
      return {priority: 0, workspace: '', slotMs: 0};
    case 'anonymous':
      return {priority: route.priority, workspace: '', slotMs};
    case 'workspace': {
      const {name, priority = route.priority} = caller.workspace;
      return {priority, workspace: name, slotMs};
    }
  }
}
