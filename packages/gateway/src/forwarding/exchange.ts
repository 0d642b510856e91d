/**
 * One client request, from arrival to final response: chooses targets, starts
 * attempts, and delivers the first acceptable response.
 */
import {
  type AttemptOutcome,
  type DispatchDecision,
  type Placement,
  decideDispatch,
  maximumHoldMs,
  isRetryable,
  decideNextStep,
} from '@ibisbeam/decision';
import type {TimerHandle} from '@ibisbeam/library';
import {deliverResponse, refuse} from './response_delivery.js';
import type {ForwardingContext} from './context.js';
import {attemptHeaders} from './attempt_headers.js';
import {recordEndedAttempt, recordEndlessAnswer} from './attempt_recording.js';
import type {ExchangeRequest, RunningAttempt} from './exchange_types.js';
import type {QueuedRequest} from './admission_queue.js';
import {type TargetResponse, startTargetAttempt} from './target_attempt.js';

/** A target in this region that takes longer counts as unreachable. */
const CONNECT_TIMEOUT_MS = 150;
/** The round trip to another region takes about 40 ms. */
const CROSS_REGION_CONNECT_TIMEOUT_MS = 300;
/**
 * Idle time after which a pooled connection is not used for a non-idempotent
 * request: the target may be about to close it, and the request could not be
 * repeated.
 */
const NON_IDEMPOTENT_MAXIMUM_IDLE_MS = 1_500;
/** Retry-After for quarantined requests, which are not worth repeating soon. */
const QUARANTINE_RETRY_AFTER_MS = 30_000;
/** Network time of a request and its response between client and VM. */
const CLIENT_ROUND_TRIP_MS = 16;
/** Idle limit of pooled connections for requests that can be repeated. */
const RETRYABLE_MAXIMUM_IDLE_MS = 60_000;
/** Time reserved to send the final response before the client's deadline. */
const RESPONSE_MARGIN_MS = 10;
/** A hedge starts no earlier than this multiple of the expected time. */
const HEDGE_EXPECTED_FACTOR = 4;
/** A hedge starts no earlier than this multiple of the latency objective. */
const HEDGE_OBJECTIVE_FACTOR = 2;

/** Handles the request until it is answered or the client disconnects. */
export function startExchange(
  context: ForwardingContext,
  request: ExchangeRequest,
): void {
  const {timers, targetLoad, log, protocol} = context;
  const {route, incoming, outgoing, service} = request;
  const routeTimeoutAtMs = request.arrivedAtMs + route.timeoutMs;
  const respondByMs = Math.min(
    routeTimeoutAtMs,
    (request.clientDeadlineMs ?? Infinity) - RESPONSE_MARGIN_MS,
  );
  const clientSocket = incoming.socket;
  const running = new Set<RunningAttempt>();
  const excluded = new Set<string>();
  let attemptsStarted = 0;
  let possiblyExecuted = 0;
  let isFinished = false;
  let deliveredResponse: TargetResponse | undefined;
  let lastPlacement: Placement | undefined;
  let lastAttemptAtMs: number | undefined;
  let hedgeTimer: TimerHandle | undefined;
  const timeoutTimer = timers.at(respondByMs, onTimeout);

  function finish(outcome: string, status: number, detail = ''): void {
    isFinished = true;
    clientSocket.removeListener('end', onClientDisconnect);
    timeoutTimer.cancel();
    hedgeTimer?.cancel();
    const hadAttempts = running.size > 0;
    for (const attempt of running) {
      attempt.handle?.cancel(outcome !== 'client-left');
      targetLoad.recordEnd(attempt.placement.target.incarnation);
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
      service,
      outcome,
      status,
      detail,
      attempts: attemptsStarted,
      tookMs: nowMs - request.arrivedAtMs,
      sinceLastAttemptMs:
        lastAttemptAtMs === undefined ? undefined : nowMs - lastAttemptAtMs,
      affinityKey: request.affinityKey,
      lastPlacement,
    });
  }

  function fingerprint(): string {
    return context.crashGuard.fingerprint(incoming, request.body);
  }

  function fail(status: number, reason: string, retryAfterMs?: number): void {
    finish('refused', status, reason);
    refuse(outgoing, status, reason, retryAfterMs);
  }

  function onTimeout(): void {
    if (possiblyExecuted > 0) {
      fail(504, 'no answer in time');
      return;
    }
    fail(503, 'no target in time', context.retryAfterMs(service));
  }

  function onClientDisconnect(): void {
    if (isFinished || outgoing.writableFinished) {
      return;
    }
    finish('client-left', 0);
  }

  /** Returns false if no target can answer in time. */
  function startNextAttempt(isHedge: boolean): boolean {
    const nowMs = timers.nowMs();
    const placement = choosePlacement(nowMs);
    if (!placement) {
      return false;
    }
    if (!isHedge && nowMs + placement.expectedMs > respondByMs) {
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
    const nowMs = timers.nowMs();
    const placement = choosePlacement(nowMs);
    if (!placement || decide(placement, nowMs).kind !== 'send') {
      return false;
    }
    startAttempt(placement, nowMs);
    return true;
  }

  function choosePlacement(nowMs: number): Placement | undefined {
    return context.placement.choose(
      {
        route: route.name,
        service,
        latencyObjectiveMs: route.latencyObjectiveMs,
        affinityKey: request.affinityKey,
        homeRegions: route.homeRegions,
        excludedIncarnations: excluded,
      },
      nowMs,
    );
  }

  function startAttempt(placement: Placement, nowMs: number): void {
    const {target} = placement;
    const {incarnation} = target;
    const attempt: RunningAttempt = {
      placement,
      startedAtMs: nowMs,
      inFlightAtStart: targetLoad.estimatedInFlight(incarnation, nowMs),
    };
    lastPlacement = placement;
    lastAttemptAtMs = nowMs;
    excluded.add(incarnation);
    running.add(attempt);
    attemptsStarted += 1;
    targetLoad.recordSent(incarnation);
    context.onRequestSent(target, nowMs);
    context.sendScheduler.schedule(() => send(attempt));
    scheduleHedge(placement);
  }

  /** Sends the attempt to its target, unless it has ended meanwhile. */
  function send(attempt: RunningAttempt): void {
    if (!running.has(attempt)) {
      return;
    }
    const {target} = attempt.placement;
    const {incarnation, entry} = target;
    const maximumIdleMs = isRetryable(route.kind)
      ? RETRYABLE_MAXIMUM_IDLE_MS
      : NON_IDEMPOTENT_MAXIMUM_IDLE_MS;
    attempt.handle = startTargetAttempt(
      {
        host: entry.host,
        port: entry.port,
        method: incoming.method ?? 'GET',
        path: incoming.url ?? '/',
        headers: attemptHeaders(context, request, target, timers.nowMs()),
        body: request.body,
        attemptId: request.attemptId,
        agent: context.connections.agentFor(incarnation, {
          maximumIdleMs,
          maximumCount: context.maximumIdleConnections(entry.service),
        }),
        connectTimeoutMs:
          target.region === context.region
            ? CONNECT_TIMEOUT_MS
            : CROSS_REGION_CONNECT_TIMEOUT_MS,
        answerBounds: context.answerBounds,
      },
      protocol,
      {timers, sendScheduler: context.sendScheduler},
      {
        onSocket: socket => context.connections.markInUse(socket),
        onSent: () => {
          possiblyExecuted += 1;
          attempt.sentAtMs = timers.nowMs();
        },
        onLoadReport: report =>
          targetLoad.recordReport(incarnation, report, timers.nowMs()),
        onRateLimit: perSecond => context.onRateLimitAnswer(target, perSecond),
        onResponseHead: (sent, response) =>
          context.connections.recordKeepAlive(sent, response),
        onEndlessAnswer: answer =>
          recordEndlessAnswer(context, {
            request: request.attemptId,
            target,
            answer,
          }),
        onEnd: (outcome, response) => onAttemptEnd(attempt, outcome, response),
      },
    );
  }

  function scheduleHedge(placement: Placement): void {
    hedgeTimer?.cancel();
    if (!isRetryable(route.kind)) {
      return;
    }
    const afterMs = Math.max(
      placement.expectedMs * HEDGE_EXPECTED_FACTOR,
      route.latencyObjectiveMs * HEDGE_OBJECTIVE_FACTOR,
    );
    hedgeTimer = timers.after(afterMs, () => {
      if (isFinished || possiblyExecuted >= route.maximumAttempts) {
        return;
      }
      if (context.retryBudget.takeRetry(service, timers.nowMs())) {
        startNextAttempt(true);
      }
    });
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
    recordEndedAttempt(context, {
      request,
      attempt,
      outcome,
      fingerprint,
      nowMs,
    });
    context.admissionQueue.onSlotFreed(service);
    context.onAttemptEnded(service, outcome.kind);
    if (outcome.kind === 'not-executed') {
      possiblyExecuted -= 1;
    }
    if (outcome.kind !== 'answered' || outcome.status >= 500) {
      log.log('info', 'attempt-failed', {
        request: request.attemptId,
        target: target.entry.id,
        outcome: outcome.kind,
        detail: 'cause' in outcome ? outcome.cause : outcome.status,
        tookMs: Math.round(nowMs - attempt.startedAtMs),
      });
    }
    onOutcome(attempt, outcome, response);
    if (response?.body.kind === 'streaming' && response !== deliveredResponse) {
      attempt.handle?.cancel();
    }
  }

  function onOutcome(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    response?: TargetResponse,
  ): void {
    const step = decideNextStep(outcome, {
      routeKind: route.kind,
      maximumAttempts: route.maximumAttempts,
      possiblyExecuted,
      tried: attemptsStarted,
      replayable: true,
      timeLeftMs: respondByMs - timers.nowMs(),
    });
    switch (step.kind) {
      case 'deliver':
        deliver(attempt, response);
        return;
      case 'try-another':
        onTryAnother(attempt, step.costsBudget, outcome, response);
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
    attempt: RunningAttempt,
    costsBudget: boolean,
    outcome: AttemptOutcome,
    response?: TargetResponse,
  ): void {
    if (running.size > 0) {
      return;
    }
    const isAllowed =
      !costsBudget || context.retryBudget.takeRetry(service, timers.nowMs());
    const wasRefused = outcome.kind === 'not-executed';
    if (
      isAllowed &&
      (wasRefused ? startNextAttemptAfterRefusal() : startNextAttempt(false))
    ) {
      return;
    }
    if (outcome.kind === 'answered' && outcome.status !== 503) {
      deliver(attempt, response);
      return;
    }
    failWithOutcome(possiblyExecuted > 0 ? 502 : 503, outcome);
  }

  function failWithOutcome(status: 502 | 503, outcome: AttemptOutcome): void {
    const reason =
      'cause' in outcome ? outcome.cause : `target said ${outcome.status}`;
    fail(
      status,
      reason,
      status === 503 ? context.retryAfterMs(service) : undefined,
    );
  }

  function deliver(
    attempt: RunningAttempt,
    response: TargetResponse | undefined,
  ): void {
    if (!response) {
      fail(502, 'the answer is missing');
      return;
    }
    deliveredResponse = response;
    switch (response.body.kind) {
      case 'whole':
        context.serviceTimes.recordResponseBytes(
          route.name,
          response.body.bytes.length,
        );
        break;
      case 'streaming':
        limitStream(attempt);
        break;
    }
    finish('answered', response.status);
    deliverResponse(outgoing, response, context.isStopping());
  }

  /** Breaks the stream off if it has not ended when the time is up. */
  function limitStream(attempt: RunningAttempt): void {
    const timer = timers.at(respondByMs, () =>
      attempt.handle?.expireStream(outgoing.writableNeedDrain),
    );
    outgoing.on('close', () => timer.cancel());
  }

  outgoing.on('close', onClientDisconnect);
  // Comes a turn of the event loop before the 'close' event.
  clientSocket.on('end', onClientDisconnect);
  context.retryBudget.recordRequest(service, request.arrivedAtMs);
  context.onRequestArrived(
    service,
    context.serviceTimes.meanMs(route.name, route.latencyObjectiveMs),
    request.arrivedAtMs,
  );
  const {crashGuard} = context;
  const elapsedMs = elapsedBeforeArrivalMs(context, request);
  const queuedRequest: QueuedRequest = {
    service,
    holdUntilMs:
      request.arrivedAtMs + maximumHoldMs(respondByMs - request.arrivedAtMs),
    urgency: 'in-time',
    tryDispatch: () => isFinished || dispatch() !== 'hold',
  };

  function decide(placement: Placement, nowMs: number): DispatchDecision {
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
    });
  }

  /** Sends or refuses the request; returns 'hold' if it has to wait. */
  function dispatch(): 'done' | 'hold' {
    const nowMs = timers.nowMs();
    const placement = choosePlacement(nowMs);
    if (!placement) {
      fail(503, 'no target has room', context.retryAfterMs(service));
      return 'done';
    }
    const decision = decide(placement, nowMs);
    switch (decision.kind) {
      case 'send':
        startAttempt(placement, nowMs);
        return 'done';
      case 'hold':
        queuedRequest.urgency = decision.urgency;
        return 'hold';
      case 'refuse':
        fail(503, 'no slot in time', context.retryAfterMs(service));
        return 'done';
    }
  }

  if (outgoing.destroyed || clientSocket.readableEnded) {
    finish('client-left', 0);
    return;
  }
  if (crashGuard.hasSuspicions() && crashGuard.isQuarantined(fingerprint())) {
    fail(
      503,
      'requests like this one crashed targets',
      QUARANTINE_RETRY_AFTER_MS,
    );
    return;
  }
  context.sendScheduler.schedule(() => {
    if (!isFinished && dispatch() === 'hold') {
      context.admissionQueue.add(queuedRequest);
    }
  });
}

/** Time since the client's first attempt, estimated from its stated timeout. */
function elapsedBeforeArrivalMs(
  context: ForwardingContext,
  request: ExchangeRequest,
): number {
  const {clientDeadlineMs, arrivedAtMs, route} = request;
  if (clientDeadlineMs === undefined) {
    return 0;
  }
  const statedTimeoutMs = clientDeadlineMs - arrivedAtMs;
  return context.clientRetryDetector.sinceFirstAttemptMs(
    route.name,
    statedTimeoutMs,
  );
}
