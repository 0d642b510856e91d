/**
 * One request of a client, from its arrival to its final answer: places it,
 * starts attempts, and delivers the first answer that may be delivered.
 */
import {
  type AttemptOutcome,
  type DispatchDecision,
  type Placement,
  decideDispatch,
  maximumHoldMs,
  isRetryable,
  nextStep,
} from '@ibisbeam/decision';
import type {TimerHandle} from '@ibisbeam/library';
import {deliverAnswer, refuse} from './answer_delivery.js';
import type {ForwardingContext} from './context.js';
import {attemptHeaders} from './attempt_headers.js';
import {learnFromAttempt} from './attempt_learning.js';
import type {ExchangeRequest, RunningAttempt} from './exchange_types.js';
import type {QueuedRequest} from './admission_queue.js';
import {type TargetAnswer, startTargetAttempt} from './target_attempt.js';

/** A connection within a region is there sooner, or the target is away. */
const CONNECT_TIMEOUT_MS = 150;
/** The way to another region takes some 40 ms there and back. */
const FAR_CONNECT_TIMEOUT_MS = 300;
/** Idle time after which a kept connection is not trusted with a booking. */
const FRESH_CONNECTION_MS = 1_500;
/** A caller of a quarantined request need not come back soon. */
const QUARANTINE_RETRY_MS = 30_000;
/** Time of a request and its answer between client and VM. */
const CLIENT_WAY_MS = 16;
const LONGEST_IDLE_MS = 60_000;
/** Time for the final answer to leave before the client's deadline. */
const ANSWER_MARGIN_MS = 10;
/** A second attempt beside a silent one starts after this many times the expected time. */
const HEDGE_FACTOR = 4;
/** No hedge before this share of the latency objective. */
const HEDGE_OBJECTIVE_SHARE = 2;

export function startExchange(
  context: ForwardingContext,
  request: ExchangeRequest,
): void {
  const {timers, load, log, protocol} = context;
  const {route, incoming, outgoing, service} = request;
  const limitMs = request.arrivedAtMs + route.timeoutMs;
  const answerByMs = Math.min(
    limitMs,
    (request.clientDeadlineMs ?? Infinity) - ANSWER_MARGIN_MS,
  );
  const running = new Set<RunningAttempt>();
  const excluded = new Set<string>();
  let tried = 0;
  let possiblyRun = 0;
  let over = false;
  let lastPlacement: Placement | undefined;
  let hedgeTimer: TimerHandle | undefined;
  const endTimer = timers.at(answerByMs, onTimeout);

  function finish(outcome: string, status: number, detail = ''): void {
    over = true;
    endTimer.cancel();
    hedgeTimer?.cancel();
    const hadSlots = running.size > 0;
    for (const attempt of running) {
      attempt.handle?.cancel();
      load.ended(attempt.placement.target.incarnation);
    }
    running.clear();
    context.admissionQueue.remove(waiting);
    if (hadSlots) {
      context.admissionQueue.slotFreed(service);
    }
    context.finished({
      attemptId: request.attemptId,
      route: route.name,
      service,
      outcome,
      status,
      detail,
      tried,
      tookMs: timers.nowMs() - request.arrivedAtMs,
      affinityKey: request.affinityKey,
      placed: lastPlacement,
    });
  }

  function fingerprint(): string {
    return context.crashGuard.fingerprint(incoming, request.body);
  }

  function fail(status: number, why: string, retryAfterMs?: number): void {
    finish('refused', status, why);
    refuse(outgoing, status, why, retryAfterMs);
  }

  function onTimeout(): void {
    if (possiblyRun > 0) {
      fail(504, 'no answer in time');
      return;
    }
    fail(503, 'no target in time', context.retryAfterMs(service));
  }

  function onClientGone(): void {
    if (over || outgoing.writableFinished) {
      return;
    }
    finish('client-left', 0);
  }

  /** False if no target could take the request. */
  function tryNext(isHedge: boolean): boolean {
    const nowMs = timers.nowMs();
    const placement = choosePlacement(nowMs);
    if (!placement) {
      return false;
    }
    if (!isHedge && nowMs + placement.expectedMs > answerByMs) {
      return false;
    }
    start(placement, nowMs);
    return true;
  }

  /**
   * After a target's refusal another one is tried only if it can answer in
   * time or has a free slot: refusals come when all are full.
   */
  function tryInTime(): boolean {
    const nowMs = timers.nowMs();
    const placement = choosePlacement(nowMs);
    if (!placement || decide(placement, nowMs).kind !== 'send') {
      return false;
    }
    start(placement, nowMs);
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

  function start(placement: Placement, nowMs: number): void {
    const {target} = placement;
    const {incarnation: life, entry} = target;
    const attempt: RunningAttempt = {
      placement,
      startedAtMs: nowMs,
      inFlightBefore: load.estimatedInFlight(life, nowMs),
    };
    lastPlacement = placement;
    excluded.add(life);
    running.add(attempt);
    tried += 1;
    load.sent(life);
    context.noteSent(target, nowMs);
    const longestIdleMs = isRetryable(route.kind)
      ? LONGEST_IDLE_MS
      : FRESH_CONNECTION_MS;
    attempt.handle = startTargetAttempt(
      {
        host: entry.host,
        port: entry.port,
        method: incoming.method ?? 'GET',
        path: incoming.url ?? '/',
        headers: attemptHeaders(context, request, target, nowMs),
        body: request.body,
        attemptId: request.attemptId,
        agent: context.connections.agentFor(life, longestIdleMs),
        connectTimeoutMs:
          target.region === context.region
            ? CONNECT_TIMEOUT_MS
            : FAR_CONNECT_TIMEOUT_MS,
      },
      protocol,
      timers,
      {
        onSocket: socket => context.connections.taken(socket),
        onSent: () => {
          possiblyRun += 1;
          attempt.sentAtMs = timers.nowMs();
        },
        onLoad: report => load.reported(life, report, timers.nowMs()),
        onAnswerHead: (sent, answer) =>
          context.connections.noteKeepAlive(sent, answer),
        onEnd: (outcome, answer) => onAttemptEnd(attempt, outcome, answer),
      },
    );
    scheduleHedge(placement);
  }

  function scheduleHedge(placement: Placement): void {
    hedgeTimer?.cancel();
    if (!isRetryable(route.kind)) {
      return;
    }
    const afterMs = Math.max(
      placement.expectedMs * HEDGE_FACTOR,
      route.latencyObjectiveMs * HEDGE_OBJECTIVE_SHARE,
    );
    hedgeTimer = timers.after(afterMs, () => {
      if (over || possiblyRun >= route.maximumAttempts) {
        return;
      }
      if (context.retries.take(service, timers.nowMs())) {
        tryNext(true);
      }
    });
  }

  function onAttemptEnd(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    answer?: TargetAnswer,
  ): void {
    if (over || !running.delete(attempt)) {
      return;
    }
    const nowMs = timers.nowMs();
    const {target} = attempt.placement;
    load.ended(target.incarnation);
    learnFromAttempt(context, {request, attempt, outcome, fingerprint, nowMs});
    context.admissionQueue.slotFreed(service);
    context.attemptEnded(service, outcome.kind);
    if (outcome.kind === 'not-executed') {
      possiblyRun -= 1;
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
    const step = nextStep(outcome, {
      routeKind: route.kind,
      maximumAttempts: route.maximumAttempts,
      possiblyRun,
      tried,
      replayable: true,
      timeLeftMs: answerByMs - nowMs,
    });
    switch (step.kind) {
      case 'deliver':
        deliver(answer);
        return;
      case 'try-another':
        onTryAnother(step.costsBudget, outcome, answer);
        return;
      case 'fail':
        if (running.size > 0) {
          return;
        }
        failWith(step.status, outcome);
        return;
    }
  }

  function onTryAnother(
    costsBudget: boolean,
    outcome: AttemptOutcome,
    answer?: TargetAnswer,
  ): void {
    if (running.size > 0) {
      return;
    }
    const allowed =
      !costsBudget || context.retries.take(service, timers.nowMs());
    const wasRefused = outcome.kind === 'not-executed';
    if (allowed && (wasRefused ? tryInTime() : tryNext(false))) {
      return;
    }
    if (outcome.kind === 'answered' && outcome.status !== 503) {
      deliver(answer);
      return;
    }
    failWith(possiblyRun > 0 ? 502 : 503, outcome);
  }

  function failWith(status: 502 | 503, outcome: AttemptOutcome): void {
    const why =
      'cause' in outcome ? outcome.cause : `target said ${outcome.status}`;
    fail(
      status,
      why,
      status === 503 ? context.retryAfterMs(service) : undefined,
    );
  }

  function deliver(answer: TargetAnswer | undefined): void {
    if (!answer) {
      fail(502, 'the answer is missing');
      return;
    }
    if (answer.body.kind === 'whole') {
      context.times.recordResponseBytes(route.name, answer.body.bytes.length);
    }
    finish('answered', answer.status);
    deliverAnswer(outgoing, answer, context.isStopping());
  }

  outgoing.on('close', onClientGone);
  context.retries.requested(service, request.arrivedAtMs);
  context.arrived(
    service,
    context.times.meanMs(route.name, route.latencyObjectiveMs),
    request.arrivedAtMs,
  );
  const {crashGuard} = context;
  const elapsedMs = elapsedBefore(context, request);
  const waiting: QueuedRequest = {
    service,
    holdUntilMs:
      request.arrivedAtMs + maximumHoldMs(answerByMs - request.arrivedAtMs),
    urgency: 'in-time',
    tryAgain: () => over || dispatch() !== 'hold',
  };

  function decide(placement: Placement, nowMs: number): DispatchDecision {
    const heldMs = nowMs - request.arrivedAtMs;
    return decideDispatch({
      expectedMs: placement.expectedMs,
      waitMs: placement.waitMs,
      queueMs: placement.waitMs - placement.delayMs,
      objectiveMs: route.latencyObjectiveMs,
      objectiveLeftMs:
        route.latencyObjectiveMs - CLIENT_WAY_MS - elapsedMs - heldMs,
      deadlineLeftMs: answerByMs - nowMs,
      heldMs,
      clientTimeoutMs: answerByMs - request.arrivedAtMs,
      isRetry: elapsedMs > 0,
    });
  }

  /** Sends the request, refuses it, or tells that it has to wait. */
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
        start(placement, nowMs);
        return 'done';
      case 'hold':
        waiting.urgency = decision.urgency;
        return 'hold';
      case 'refuse':
        fail(503, 'no slot in time', context.retryAfterMs(service));
        return 'done';
    }
  }

  if (outgoing.destroyed) {
    finish('client-left', 0);
    return;
  }
  if (crashGuard.isWatching() && crashGuard.isQuarantined(fingerprint())) {
    fail(503, 'requests like this one crashed targets', QUARANTINE_RETRY_MS);
    return;
  }
  if (dispatch() === 'hold') {
    context.admissionQueue.add(waiting);
  }
}

/** Time since the client's first attempt, by the patience that it states. */
function elapsedBefore(
  context: ForwardingContext,
  request: ExchangeRequest,
): number {
  const {clientDeadlineMs, arrivedAtMs, route} = request;
  if (clientDeadlineMs === undefined) {
    return 0;
  }
  const statedMs = clientDeadlineMs - arrivedAtMs;
  return context.clientPatience.sinceFirstAttemptMs(route.name, statedMs);
}
