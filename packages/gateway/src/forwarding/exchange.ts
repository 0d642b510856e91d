/**
 * One client request, from arrival to final response: chooses targets, starts
 * attempts, and delivers the first acceptable response.
 */
import {
  type AttemptOutcome,
  type DispatchDecision,
  type Placement,
  type PoolAvailability,
  decideDispatch,
  maximumHoldMs,
  isRetryable,
  decideNextStep,
} from '@ibisbeam/decision';
import type {TimerHandle} from '@ibisbeam/library';
import {deliverResponse, refuse} from './response_delivery.js';
import type {ForwardingContext} from './context.js';
import {attemptHeaders} from './attempt_headers.js';
import {recordEndedAttempt} from './attempt_recording.js';
import type {ExchangeRequest, RunningAttempt} from './exchange_types.js';
import type {QueuedRequest} from './admission_queue.js';
import {readAnswerStatement} from './answer_statement.js';
import {
  type AnswerHead,
  type TargetResponse,
  startTargetAttempt,
} from './target_attempt.js';

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
      attempt.handle?.cancel();
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

  function retryAfterMs(): number {
    return context.retryAfterMs(service, route.homeRegions);
  }

  function onTimeout(): void {
    if (possiblyExecuted > 0) {
      fail(504, 'no answer in time');
      return;
    }
    fail(503, 'no target in time', retryAfterMs());
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
    const cause = context.availability.withheldBecause(incarnation);
    if (cause !== undefined) {
      onAttemptEnd(attempt, {kind: 'withheld', cause});
      return;
    }
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
        withheldBecause: () =>
          context.availability.withheldBecause(incarnation),
        onAnswer: head => onAnswer(attempt, head),
        onRateLimit: perSecond => context.onRateLimitAnswer(target, perSecond),
        onResponseHead: (sent, response) =>
          context.connections.recordKeepAlive(sent, response),
        onEnd: (outcome, response) => onAttemptEnd(attempt, outcome, response),
      },
    );
  }

  function onAnswer(attempt: RunningAttempt, head: AnswerHead): void {
    const nowWallMs = timers.wallMs();
    const statement = readAnswerStatement(protocol, head, nowWallMs);
    attempt.isPauseStated = statement.pauseMs !== undefined;
    context.availability.recordAnswer(attempt.placement.target, statement);
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
    const reason =
      'cause' in outcome ? outcome.cause : `target said ${outcome.status}`;
    fail(status, reason, status === 503 ? retryAfterMs() : undefined);
  }

  function deliver(response: TargetResponse | undefined): void {
    if (!response) {
      fail(502, 'the answer is missing');
      return;
    }
    if (response.body.kind === 'whole') {
      context.serviceTimes.recordResponseBytes(
        route.name,
        response.body.bytes.length,
      );
    }
    finish('answered', response.status);
    deliverResponse(outgoing, response, {
      droppedHeaders: context.droppedAnswerHeaders,
      closeAfter: context.isStopping(),
    });
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
      return holdOrRefuse(nowMs);
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
        fail(503, 'no slot in time', retryAfterMs());
        return 'done';
    }
  }

  /** Without a target, waits only for targets that are back from a pause. */
  function holdOrRefuse(nowMs: number): 'done' | 'hold' {
    const pool = context.availability.poolOf(service, route.homeRegions);
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
  if (crashGuard.hasSuspicions() && crashGuard.isQuarantined(fingerprint())) {
    fail(
      503,
      'requests like this one crashed targets',
      QUARANTINE_RETRY_AFTER_MS,
    );
    return;
  }
  context.sendScheduler.schedule(() => {
    if (!isFinished) {
      begin();
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
