/**
 * One client request, from arrival to final response: chooses targets, starts
 * attempts, and delivers the first acceptable response. A VM that reaches no
 * targets relays the request to a peer.
 */
import {
  type AttemptOutcome,
  type CrashVerdict,
  type DispatchDecision,
  type EstimateTrial,
  type LongAnswerDelivery,
  type Placement,
  type RelayOutcome,
  decideAfterRelay,
  type PoolAvailability,
  type RefusalCause,
  type TrialResult,
  assertNever,
  decideDispatch,
  decideLongAnswer,
  maximumHoldMs,
  isRetryable,
  decideNextStep,
} from '@ibisbeam/decision';
import type {DecisionScope, TimerHandle} from '@ibisbeam/library';
import {
  STOPPING_REASON,
  STOPPING_RETRY_AFTER_MS,
  deliverResponse,
  refuse,
} from './response_delivery.js';
import type {ForwardingContext} from './context.js';
import {followRun, recordEndedAttempt} from './attempt_recording.js';
import type {
  ExchangeRequest,
  RunningAttempt,
  RunningRelay,
} from './exchange_types.js';
import type {QueuedRequest} from './admission_queue.js';
import {retryAfterMsOf} from './relay_send.js';
import {createRelays} from './relays.js';
import {
  type AnswerProgress,
  type TargetResponse,
  keepUntilTurn,
  streamOf,
} from './target_attempt.js';
import {LONG_ANSWER_BYTES} from './held_memory.js';
import {homeRegionsInForce} from './home_regions.js';
import {sendToTarget} from './target_send.js';

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
/** An answer is overdue no earlier than this multiple of the expected time. */
const OVERDUE_EXPECTED_FACTOR = 4;
/** The same as a multiple of the latency objective. */
const OVERDUE_OBJECTIVE_FACTOR = 2;

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
  const running = new Set<RunningAttempt | RunningRelay>();
  const excluded = new Set<string>();
  let attemptsStarted = 0;
  /** Whether any target or peer may have received the request. */
  let wasSent = false;
  let possiblyExecuted = 0;
  let isFinished = false;
  let knownFingerprint: string | undefined;
  let lastPlacement: Placement | undefined;
  let lastAttemptAtMs: number | undefined;
  /** At the target that was chosen last; 0 before the first choice. */
  let expectedWaitMs = 0;
  let overdueTimer: TimerHandle | undefined;
  /** When the first attempt was sent whose pooled connection may be silent. */
  let silentSinceMs: number | undefined;
  const relays = createRelays(context, request, respondByMs, {
    decideLongAnswer: decideDelivery,
    onSent,
    onEnd: onRelayEnd,
  });
  const timeoutTimer = timers.at(respondByMs, onTimeout);

  function finish(outcome: string, status: number, detail = ''): void {
    isFinished = true;
    refundQuota(outcome);
    timeoutTimer.cancel();
    overdueTimer?.cancel();
    const hadAttempts = running.size > 0;
    for (const attempt of running) {
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
    running.clear();
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
      attempts: attemptsStarted,
      tookMs: nowMs - request.arrivedAtMs,
      sinceLastAttemptMs:
        lastAttemptAtMs === undefined ? undefined : nowMs - lastAttemptAtMs,
      affinityKey: request.affinityKey,
      lastPlacement,
      lastPeer: relays.lastPeer(),
    });
  }

  /** What no target has run does not count against the quota. */
  function refundQuota(outcome: string): void {
    const hasRun = outcome === 'answered' || possiblyExecuted > 0;
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
      ...identityFields(),
    });
  }

  function fingerprint(): string {
    knownFingerprint ??= crashGuard.fingerprint(request);
    return knownFingerprint;
  }

  function crashVerdict(): CrashVerdict {
    return crashGuard.hasSuspicions()
      ? crashGuard.verdictOf(fingerprint(), service)
      : 'clear';
  }

  /** Whether the request may be sent once more, after a first attempt. */
  function mayRepeat(): boolean {
    return crashVerdict() === 'clear' && isCallerCurrent();
  }

  /** Whether the caller's API key is still that of its workspace. */
  function isCallerCurrent(): boolean {
    return context.callers.current(caller) !== undefined;
  }

  /** Tell which requests were the same one, if targets crashed under them. */
  function identityFields(): Record<string, string | undefined> {
    return {
      fingerprint: fingerprint(),
      path: request.incoming.url,
      client: request.clientAddress,
    };
  }

  /** Returns whether the request was refused. */
  function refuseIfSuspected(): boolean {
    switch (crashVerdict()) {
      case 'clear':
        return false;
      case 'contained':
        if (!crashGuard.hasUnsettledRun(fingerprint())) {
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
    return context.retryAfterMs(service, homeRegions(), expectedWaitMs);
  }

  function decideDelivery(progress: AnswerProgress): LongAnswerDelivery {
    return decideLongAnswer(
      {
        ...progress,
        isInTurn: answer.isInTurn(),
        requestsBehind: answer.requestsBehind(),
        timeLeftMs: respondByMs - timers.nowMs(),
      },
      context.heldMemory.holdLimits(),
    );
  }

  /** Returns whether an answer that was held is delivered now. */
  function reviewLongAnswers(): boolean {
    for (const {handle} of running) {
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
    distrustSilentConnections();
    if (possiblyExecuted > 0) {
      fail(504, 'no answer in time');
      return;
    }
    fail(503, 'no target in time', retryAfterMs());
  }

  /** While this VM stops: ends the request if its answer is not awaited. */
  function onDecisionDue(scope: DecisionScope): void {
    if (scope === 'unsent' && running.size > 0) {
      return;
    }
    if (possiblyExecuted > 0) {
      fail(504, 'this VM stops before the answer');
      return;
    }
    failAsStopping();
  }

  function failAsStopping(): void {
    fail(503, STOPPING_REASON, STOPPING_RETRY_AFTER_MS);
  }

  function onClientLeft(): void {
    if (!isFinished) {
      finish('client-left', 0);
    }
  }

  /** Returns false if no target or peer can answer in time. */
  function startNextAttempt(isHedge: boolean): boolean {
    if (!mayRepeat()) {
      return false;
    }
    if (context.targetReach() === 'cut-off') {
      return startRelay();
    }
    const nowMs = timers.nowMs();
    const placement = choosePlacement(nowMs);
    if (!placement) {
      return false;
    }
    if (!isHedge && nowMs + placement.expectedMs > respondByMs) {
      return false;
    }
    if (!context.gracefulStop.mayBegin(placement.expectedMs)) {
      return false;
    }
    startAttempt(placement, nowMs);
    return true;
  }

  /**
   * After a target has refused the request, starts another attempt only if the
   * dispatch rule would send it at once. A refusal usually means that all
   * targets are full.
   */
  function startNextAttemptAfterRefusal(): boolean {
    if (!mayRepeat()) {
      return false;
    }
    if (context.targetReach() === 'cut-off') {
      return startRelay();
    }
    const nowMs = timers.nowMs();
    const placement = choosePlacement(nowMs);
    if (!placement || decide(placement, nowMs, false).kind !== 'send') {
      return false;
    }
    if (!context.gracefulStop.mayBegin(placement.expectedMs)) {
      return false;
    }
    startAttempt(placement, nowMs);
    return true;
  }

  function choosePlacement(nowMs: number): Placement | undefined {
    const homeRegions = homeRegionsInForce(context, request);
    if (!homeRegions || context.copyGuard.state() !== 'confirmed') {
      return undefined;
    }
    return context.placement.choose(
      {
        route: route.name,
        service,
        latencyObjectiveMs: route.latencyObjectiveMs,
        affinityKey: request.affinityKey,
        homeRegions,
        isDownload: route.kind === 'download',
        excludedIncarnations: excluded,
      },
      nowMs,
    );
  }

  /** @param trial Present if the expected duration would refuse the request. */
  function startAttempt(
    placement: Placement,
    nowMs: number,
    trial?: EstimateTrial,
  ): void {
    const {target} = placement;
    const {incarnation} = target;
    const attempt: RunningAttempt = {
      kind: 'target',
      placement,
      startedAtMs: nowMs,
      inFlightAtStart: placement.inFlight,
      trial,
    };
    lastPlacement = placement;
    expectedWaitMs = placement.waitMs;
    lastAttemptAtMs = nowMs;
    excluded.add(incarnation);
    running.add(attempt);
    attemptsStarted += 1;
    targetLoad.recordSent(incarnation);
    context.onRequestSent(target, nowMs);
    context.slotTimes.record(
      service,
      queuedRequest.workspace,
      placement.expectedMs - placement.waitMs - placement.roundTripMs,
      nowMs,
    );
    context.sendScheduler.schedule(() => send(attempt));
    scheduleOverdueCheck(placement);
  }

  /** Sends the attempt to its target, unless it has ended meanwhile. */
  function send(attempt: RunningAttempt): void {
    if (!running.has(attempt)) {
      return;
    }
    const {incarnation} = attempt.placement.target;
    const cause = context.availability.withheldBecause(incarnation);
    if (cause !== undefined) {
      onAttemptEnd(attempt, {kind: 'withheld', cause});
      return;
    }
    if (silentSinceMs !== undefined) {
      context.connections.closeUnusedSince(incarnation, silentSinceMs);
    }
    attempt.handle = sendToTarget(context, request, attempt, {
      decideLongAnswer: decideDelivery,
      onSent: isNewConnection => {
        attempt.isOnPooledConnection = !isNewConnection;
        onSent(attempt);
        followRun(context, request, attempt, isNewConnection, fingerprint);
      },
      onEnd: (outcome, response) => onAttemptEnd(attempt, outcome, response),
    });
  }

  function onSent(attempt: RunningAttempt | RunningRelay): void {
    wasSent = true;
    possiblyExecuted += 1;
    attempt.sentAtMs = timers.nowMs();
  }

  /** Mean duration of requests of the route at a target. */
  function typicalMs(): number {
    return context.serviceTimes.meanMs(route.name, route.latencyObjectiveMs);
  }

  /** Returns false if no peer may take the request. */
  function startRelay(): boolean {
    const isQuarantined = crashVerdict() === 'crashes-targets';
    if (context.copyGuard.state() !== 'confirmed' || isQuarantined) {
      return false;
    }
    if (!context.gracefulStop.mayBegin(typicalMs())) {
      return false;
    }
    const relay = relays.start();
    if (!relay) {
      return false;
    }
    overdueTimer?.cancel();
    running.add(relay);
    return true;
  }

  function onRelayEnd(
    relay: RunningRelay,
    outcome: RelayOutcome,
    response?: TargetResponse,
  ): void {
    if (isFinished || !running.delete(relay)) {
      return;
    }
    const nowMs = timers.nowMs();
    if (outcome.kind === 'not-executed') {
      possiblyExecuted -= 1;
    }
    const step = decideAfterRelay(outcome, {
      routeKind: route.kind,
      maximumAttempts: route.maximumAttempts,
      possiblyExecuted,
      tried: relays.tried(),
      replayable: true,
      timeLeftMs: respondByMs - nowMs,
    });
    if (step.kind === 'deliver') {
      deliver(response);
      return;
    }
    if (running.size > 0) {
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
    if (possiblyExecuted === 0) {
      const statedMs = retryAfterMsOf(response);
      fail(503, reason, statedMs ?? retryAfterMs());
      return;
    }
    const isTimeout =
      outcome.kind === 'failed-at-peer' && outcome.status === 504;
    fail(isTimeout ? 504 : 502, reason);
  }

  function scheduleOverdueCheck(placement: Placement): void {
    overdueTimer?.cancel();
    const afterMs = Math.max(
      placement.expectedMs * OVERDUE_EXPECTED_FACTOR,
      route.latencyObjectiveMs * OVERDUE_OBJECTIVE_FACTOR,
    );
    overdueTimer = timers.after(afterMs, () => {
      if (isFinished) {
        return;
      }
      distrustSilentConnections();
      if (isRetryable(route.kind)) {
        startHedge();
      }
    });
  }

  /**
   * A connection may be silent for good while its target is sound. What has
   * silenced it may have silenced the idle ones beside it.
   */
  function distrustSilentConnections(): void {
    for (const attempt of running) {
      if (attempt.kind !== 'target' || !attempt.isOnPooledConnection) {
        continue;
      }
      const sentAtMs = attempt.sentAtMs ?? timers.nowMs();
      silentSinceMs = Math.min(silentSinceMs ?? sentAtMs, sentAtMs);
      context.connections.closeUnusedSince(
        attempt.placement.target.incarnation,
        sentAtMs,
      );
    }
  }

  function startHedge(): void {
    if (possiblyExecuted >= route.maximumAttempts) {
      return;
    }
    // A hedge would end two targets instead of one.
    if (crashGuard.hasSuspicions() && crashGuard.isDoubtful(fingerprint())) {
      return;
    }
    if (context.retryBudget.takeRetry(service, timers.nowMs())) {
      startNextAttempt(true);
    }
  }

  function onAttemptEnd(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    response?: TargetResponse,
  ): void {
    if (isFinished || !running.delete(attempt)) {
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
      possiblyExecuted -= 1;
    }
    if (outcome.kind === 'withheld') {
      attemptsStarted -= 1;
    }
    if (outcome.kind !== 'answered' || outcome.status >= 500) {
      log.log('info', 'attempt-failed', {
        request: request.attemptId,
        target: target.entry.id,
        outcome: outcome.kind,
        detail: 'cause' in outcome ? outcome.cause : outcome.status,
        tookMs: Math.round(nowMs - attempt.startedAtMs),
        ...(outcome.kind === 'broken' ? identityFields() : {}),
      });
    }
    const step = decideNextStep(outcome, {
      routeKind: route.kind,
      maximumAttempts: route.maximumAttempts,
      possiblyExecuted,
      tried: attemptsStarted,
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
        if (running.size > 0) {
          return;
        }
        failWithOutcome(step.status, outcome);
        return;
    }
  }

  function onTryAnother(
    costsBudget: boolean,
    outcome: AttemptOutcome,
    response?: TargetResponse,
  ): void {
    if (running.size > 0) {
      return;
    }
    const isAllowed =
      !costsBudget || context.retryBudget.takeRetry(service, timers.nowMs());
    if (outcome.kind === 'withheld' && attemptsStarted === 0) {
      begin();
      return;
    }
    const wasRefused = outcome.kind === 'not-executed';
    if (
      isAllowed &&
      (wasRefused ? startNextAttemptAfterRefusal() : startNextAttempt(false))
    ) {
      return;
    }
    if (outcome.kind === 'answered' && outcome.status !== 503) {
      deliver(response);
      return;
    }
    failWithOutcome(possiblyExecuted > 0 ? 502 : 503, outcome);
  }

  function failWithOutcome(status: 502 | 503, outcome: AttemptOutcome): void {
    const isUnconnected = outcome.kind === 'not-sent' && !wasSent;
    if (isUnconnected && startRelay()) {
      return;
    }
    const reason =
      'cause' in outcome ? outcome.cause : `target said ${outcome.status}`;
    fail(status, reason, status === 503 ? retryAfterMs() : undefined);
  }

  function deliver(answered: TargetResponse | undefined): void {
    if (!answered) {
      fail(502, 'the answer is missing');
      return;
    }
    if (answered.body.kind === 'streaming') {
      // Its run may break off later than the body of the request is kept.
      fingerprint();
    }
    let response: TargetResponse | undefined = answer.isInTurn()
      ? answered
      : keepUntilTurn(answered, request.memory);
    if (answered.body.kind === 'whole' && relays.tried() === 0) {
      context.serviceTimes.recordResponseBytes(
        route.name,
        answered.body.byteCount,
      );
    }
    finish('answered', answered.status);
    const stream = streamOf(answered);
    answer.onEnd(() => stream?.destroy());
    answer.write(
      () => {
        const delivered = response;
        // An ended request may be referred to until its connection closes.
        response = undefined;
        if (delivered) {
          deliverResponse(outgoing, delivered, {
            droppedHeaders: context.droppedAnswerHeaders,
            timers,
            limitAtMs: respondByMs,
            onBufferedSent: bytes => request.memory.give(bytes),
            onBrokenOff: logBrokenOff,
          });
        }
      },
      {delivery: isLong(answered) ? 'streamed' : 'whole'},
    );
  }

  function logBrokenOff(): void {
    const sentAtMs = lastAttemptAtMs ?? request.arrivedAtMs;
    log.log('info', 'answer-broken-off', {
      request: request.attemptId,
      target: lastPlacement?.target.entry.id,
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
    ...competitionOf(context, request),
    tryDispatch: () => isFinished || dispatch() !== 'hold',
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
    if (!isCallerCurrent()) {
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
      if (!startRelay()) {
        fail(503, 'cut off from targets', retryAfterMs());
      }
      return 'done';
    }
    const nowMs = timers.nowMs();
    const placement = choosePlacement(nowMs);
    if (placement && !context.gracefulStop.mayBegin(placement.expectedMs)) {
      failAsStopping();
      return 'done';
    }
    if (!placement) {
      // Targets that took no connection are avoided for a while.
      if (context.targetReach() === 'suspect' && startRelay()) {
        return 'done';
      }
      return holdOrRefuse(nowMs);
    }
    const decision = decide(placement, nowMs, isOutranked());
    switch (decision.kind) {
      case 'send':
        startAttempt(placement, nowMs);
        return 'done';
      case 'hold':
        queuedRequest.urgency = decision.urgency;
        return 'hold';
      case 'refuse': {
        const trial = beginTrial(decision.because, placement, nowMs);
        if (trial) {
          startAttempt(placement, nowMs, trial);
          return 'done';
        }
        expectedWaitMs = placement.waitMs;
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
    if (!isFinished) {
      begin();
    }
  });
}

/** Whether its client may send more before the last byte has left. */
function isLong({body}: TargetResponse): boolean {
  return body.kind === 'streaming' || body.byteCount > LONG_ANSWER_BYTES;
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
