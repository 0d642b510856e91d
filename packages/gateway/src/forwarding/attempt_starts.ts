/** The attempts of one request at targets: chooses, sends and watches them. */
import type {
  AttemptOutcome,
  EstimateTrial,
  LongAnswerDelivery,
  Placement,
} from '@ibisbeam/decision';
import type {TimerHandle} from '@ibisbeam/library';
import {followRun} from './attempt_recording.js';
import type {ForwardingContext} from './context.js';
import type {ExchangeState} from './exchange_state.js';
import type {
  ExchangeRequest,
  RunningAttempt,
  RunningRelay,
} from './exchange_types.js';
import {homeRegionsInForce} from './home_regions.js';
import type {RequestIdentity} from './request_identity.js';
import type {AnswerProgress, TargetResponse} from './target_attempt.js';
import {sendToTarget} from './target_send.js';

export interface AttemptStarts {
  /** Chooses a target that was not tried yet; undefined if there is none. */
  choose(nowMs: number): Placement | undefined;
  /** @param trial Present if the expected duration would refuse the request. */
  start(placement: Placement, nowMs: number, trial?: EstimateTrial): void;
  /** The target or the peer of the attempt may run the request from now on. */
  recordSent(attempt: RunningAttempt | RunningRelay): void;
  /**
   * A connection may be silent for good while its target is sound. What has
   * silenced it may have silenced the idle ones beside it.
   */
  distrustSilentConnections(): void;
  /** The answer is not awaited from a target any more. */
  cancelOverdueCheck(): void;
}

export interface AttemptStartsOptions {
  readonly context: ForwardingContext;
  readonly request: ExchangeRequest;
  readonly state: ExchangeState;
  readonly identity: RequestIdentity;
  /** Whose slots the request takes; empty if the caller belongs to none. */
  readonly workspace: string;
  decideLongAnswer(progress: AnswerProgress): LongAnswerDelivery;
  onEnd(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    response?: TargetResponse,
  ): void;
  /** The answer is long overdue. */
  onOverdue(): void;
}

/** An answer is overdue no earlier than this multiple of the expected time. */
const OVERDUE_EXPECTED_FACTOR = 4;
/** The same as a multiple of the latency objective. */
const OVERDUE_OBJECTIVE_FACTOR = 2;

export function createAttemptStarts(
  options: AttemptStartsOptions,
): AttemptStarts {
  const {context, request, state, identity, workspace} = options;
  const {timers, targetLoad} = context;
  const {route, service} = request;
  let overdueTimer: TimerHandle | undefined;
  /** When the first attempt was sent whose pooled connection may be silent. */
  let silentSinceMs: number | undefined;

  function choose(nowMs: number): Placement | undefined {
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
        excludedIncarnations: state.triedTargets,
      },
      nowMs,
    );
  }

  function start(
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
    state.lastPlacement = placement;
    state.expectedWaitMs = placement.waitMs;
    state.lastAttemptAtMs = nowMs;
    state.triedTargets.add(incarnation);
    state.running.add(attempt);
    state.attemptsStarted += 1;
    targetLoad.recordSent(incarnation);
    context.onRequestSent(target, nowMs);
    context.slotTimes.record(
      service,
      workspace,
      placement.expectedMs - placement.waitMs - placement.roundTripMs,
      nowMs,
    );
    context.sendScheduler.schedule(() => send(attempt));
    scheduleOverdueCheck(placement);
  }

  /** Sends the attempt to its target, unless it has ended meanwhile. */
  function send(attempt: RunningAttempt): void {
    if (!state.running.has(attempt)) {
      return;
    }
    const {incarnation} = attempt.placement.target;
    const cause = context.availability.withheldBecause(incarnation);
    if (cause !== undefined) {
      options.onEnd(attempt, {kind: 'withheld', cause});
      return;
    }
    if (silentSinceMs !== undefined) {
      context.connections.closeUnusedSince(incarnation, silentSinceMs);
    }
    attempt.handle = sendToTarget(context, request, attempt, {
      decideLongAnswer: options.decideLongAnswer,
      onSent: isNewConnection => {
        attempt.isOnPooledConnection = !isNewConnection;
        recordSent(attempt);
        followRun(
          context,
          request,
          attempt,
          isNewConnection,
          identity.fingerprint,
        );
      },
      onEnd: (outcome, response) => options.onEnd(attempt, outcome, response),
    });
  }

  function recordSent(attempt: RunningAttempt | RunningRelay): void {
    state.wasSent = true;
    state.possiblyExecuted += 1;
    attempt.sentAtMs = timers.nowMs();
  }

  function scheduleOverdueCheck(placement: Placement): void {
    overdueTimer?.cancel();
    const afterMs = Math.max(
      placement.expectedMs * OVERDUE_EXPECTED_FACTOR,
      route.latencyObjectiveMs * OVERDUE_OBJECTIVE_FACTOR,
    );
    overdueTimer = timers.after(afterMs, () => {
      if (state.isFinished) {
        return;
      }
      distrustSilentConnections();
      options.onOverdue();
    });
  }

  function distrustSilentConnections(): void {
    for (const attempt of state.running) {
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

  return {
    choose,
    start,
    recordSent,
    distrustSilentConnections,
    cancelOverdueCheck: () => overdueTimer?.cancel(),
  };
}
