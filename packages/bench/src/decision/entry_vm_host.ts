/**
 * Simulated entry VM: feeds events to its steering and carries out the actions
 * that the steering returns.
 */
import {
  type AttemptResult,
  type EntryVm,
  type Incarnation,
  type MembershipView,
  type RequestId,
  type Steering,
  type SteeringAction,
  type SteeringEvent,
  assertNever,
  incarnation,
} from '@ibisbeam/decision';
import {type Attempt, createAttempts} from './attempts.js';
import type {ScheduledCall} from './event_loop.js';
import type {Arrival, EntryVmHost, Reply, World} from './types.js';

/** Round trip to the store in the same region, including processing. */
const STORE_CALL_MS = 4;
/** Retry-after of a refusal because the operation is already in progress. */
const IN_PROGRESS_RETRY_AFTER_MS = 1_000;
/** Minimum delay of a timer, so that it never fires when it is set. */
const TIMER_RESOLUTION_MS = 0.125;

interface PendingRequest {
  readonly arrival: Arrival;
  /** Whether this VM holds the claim of the operation. */
  readonly claimed: boolean;
}

/** State of one incarnation of the process; discarded when it crashes. */
interface ProcessState {
  readonly steering: Steering;
  readonly requests: Map<RequestId, PendingRequest>;
  readonly inbox: SteeringEvent[];
  readonly backlog: (() => void)[];
  stepping: boolean;
  pausedUntilMs: number;
  tickTimer?: ScheduledCall;
  tickAtMs: number;
}

export function createEntryVmHost(world: World, vm: EntryVm): EntryVmHost {
  const {loop} = world;
  const location = {region: vm.region, zone: vm.zone};
  let active: ProcessState | undefined;
  let bootCount = 0;

  const attempts = createAttempts(world, vm, {
    whenRunning,
    step: deliver,
    finish: finishAttempt,
    arrivalOf: request => active?.requests.get(request)?.arrival,
  });

  /**
   * Binds a call to the current incarnation: it is deferred while the process
   * is paused, and dropped after a crash.
   */
  function whenRunning(call: () => void): () => void {
    const scheduledBy = active;
    return () => {
      if (!scheduledBy || scheduledBy !== active) {
        return;
      }
      if (loop.nowMs() < scheduledBy.pausedUntilMs) {
        scheduledBy.backlog.push(call);
        return;
      }
      call();
    };
  }

  function deliver(event: SteeringEvent): void {
    const current = active;
    if (!current) {
      return;
    }
    if (loop.nowMs() < current.pausedUntilMs) {
      current.backlog.push(() => deliver(event));
      return;
    }
    current.inbox.push(event);
    if (current.stepping) {
      return;
    }
    current.stepping = true;
    while (current.inbox.length > 0) {
      stepOnce(current, current.inbox.shift()!);
    }
    current.stepping = false;
  }

  function stepOnce(current: ProcessState, event: SteeringEvent): void {
    const nowMs = loop.nowMs();
    const actions = current.steering.step(event, {nowMs, wallMs: nowMs});
    perform(actions);
    if (event.kind === 'attempt-finished') {
      finishIfAnswered(event.request, event.result, actions);
    }
  }

  /** Passes an answer on to the caller unless the steering retries. */
  function finishIfAnswered(
    request: RequestId,
    result: AttemptResult,
    actions: readonly SteeringAction[],
  ): void {
    if (result.kind !== 'answered') {
      return;
    }
    for (const action of actions) {
      if (action.kind === 'send-attempt' && action.request === request) {
        return;
      }
    }
    finishRequest(request, {
      end: {kind: 'answered', answerTo: request, whole: true},
      status: result.status,
    });
  }

  function perform(actions: readonly SteeringAction[]): void {
    for (const action of actions) {
      performOne(action);
    }
  }

  function performOne(action: SteeringAction): void {
    switch (action.kind) {
      case 'send-attempt':
        attempts.start(action);
        return;
      case 'cancel-attempt':
        attempts.cancel(action.request, action.attempt);
        return;
      case 'refuse':
        finishRequest(action.request, {
          end: {
            kind: 'refused',
            reason: action.reason,
            outcome: action.outcome,
          },
          status: 503,
          retryAfterMs: action.retryAfterMs,
        });
        return;
      case 'send-to-peer':
        sendToPeer(action);
        return;
      case 'wake-at':
        scheduleTick(action.nowMs);
        return;
      case 'note':
        return;
      default:
        assertNever(action);
    }
  }

  function sendToPeer(
    action: Extract<SteeringAction, {kind: 'send-to-peer'}>,
  ): void {
    const peer = world.hosts.get(action.to);
    if (!peer || !world.network.reachable(vm.region, peer.vm.region)) {
      return;
    }
    const {message} = action;
    loop.after(world.network.oneWayMs(location, peer.location), () =>
      peer.deliver({kind: 'peer-message', from: vm.id, message}),
    );
  }

  function scheduleTick(atMs: number): void {
    const current = active;
    if (!current || atMs >= current.tickAtMs) {
      return;
    }
    current.tickTimer?.cancel();
    current.tickAtMs = atMs;
    current.tickTimer = loop.at(
      Math.max(atMs, loop.nowMs() + TIMER_RESOLUTION_MS),
      whenRunning(() => {
        current.tickAtMs = Infinity;
        deliver({kind: 'tick'});
      }),
    );
  }

  function accept(arrival: Arrival): void {
    if (!active) {
      arrival.onReply({end: {kind: 'no-answer'}, status: 0});
      return;
    }
    whenRunning(() => admit(arrival))();
  }

  function admit(arrival: Arrival): void {
    if (arrival.operation.idempotent || arrival.relayedFrom) {
      begin(arrival, false);
      return;
    }
    loop.after(
      STORE_CALL_MS,
      whenRunning(() => beginClaimed(arrival)),
    );
  }

  function beginClaimed(arrival: Arrival): void {
    const decision = world.claims.begin(arrival.operation.id);
    switch (decision.kind) {
      case 'run':
        begin(arrival, true);
        return;
      case 'replay':
        arrival.onReply({
          end: {kind: 'answered', answerTo: arrival.request, whole: true},
          status: decision.status,
        });
        return;
      case 'in-progress':
        arrival.onReply({
          end: {
            kind: 'refused',
            reason: 'idempotency-key-in-use',
            outcome: 'unknown',
          },
          status: 409,
          retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS,
        });
        return;
      case 'outcome-unknown':
        arrival.onReply({
          end: {
            kind: 'refused',
            reason: 'outcome-unknown',
            outcome: 'unknown',
          },
          status: 502,
        });
        return;
      default:
        assertNever(decision);
    }
  }

  function begin(arrival: Arrival, claimed: boolean): void {
    const {operation, request} = arrival;
    active?.requests.set(request, {arrival, claimed});
    deliver({
      kind: 'request-arrived',
      request: {
        id: request,
        workspace: operation.workspace,
        service: operation.service,
        callingTeam: operation.callingTeam,
        idempotent: operation.idempotent,
        fingerprint: operation.id,
        homeRegion: operation.homeRegion,
        cohort: operation.cohort,
        deadlineMs: operation.deadlineMs,
        relayedFrom: arrival.relayedFrom,
        expectedResponseBytes: operation.responseBytes,
      },
    });
  }

  function finishRequest(request: RequestId, reply: Reply): void {
    const pending = active?.requests.get(request);
    if (!pending) {
      return;
    }
    active?.requests.delete(request);
    if (pending.claimed) {
      resolveClaim(pending.arrival.operation.id, reply);
    }
    pending.arrival.onReply(reply);
  }

  function resolveClaim(operation: string, reply: Reply): void {
    if (reply.end.kind === 'answered') {
      world.claims.answered(operation, reply.status);
      return;
    }
    if (reply.end.kind === 'refused' && reply.end.outcome === 'not-run') {
      world.claims.release(operation);
      return;
    }
    world.claims.unknown(operation);
  }

  function finishAttempt(attempt: Attempt, result: AttemptResult): void {
    deliver({
      kind: 'attempt-finished',
      request: attempt.request,
      attempt: attempt.number,
      result,
    });
  }

  function abandon(request: RequestId): void {
    whenRunning(() => {
      const pending = active?.requests.get(request);
      if (!pending) {
        return;
      }
      active?.requests.delete(request);
      if (pending.claimed) {
        world.claims.unknown(pending.arrival.operation.id);
      }
      deliver({kind: 'request-cancelled', request});
    })();
  }

  function crash(): void {
    const crashed = active;
    if (!crashed) {
      return;
    }
    active = undefined;
    crashed.tickTimer?.cancel();
    attempts.dropAll();
    world.record({kind: 'vm-lost', atMs: loop.nowMs(), vm: vm.id});
    for (const [request, pending] of crashed.requests) {
      if (pending.claimed) {
        world.claims.unknown(pending.arrival.operation.id);
      }
      world.record({
        kind: 'request-cut',
        atMs: loop.nowMs(),
        vm: vm.id,
        request,
        cause: 'crash',
      });
      pending.arrival.onReply({end: {kind: 'no-answer'}, status: 0});
    }
  }

  function currentIncarnation(): Incarnation {
    return incarnation(`${vm.id}-${bootCount}`);
  }

  function boot(view: MembershipView | undefined): void {
    bootCount += 1;
    const steering = world.createSteering({
      vm,
      incarnation: currentIncarnation(),
      random: world.random(`${vm.id}-${bootCount}`),
      world,
    });
    active = {
      steering,
      requests: new Map(),
      inbox: [],
      backlog: [],
      stepping: false,
      pausedUntilMs: 0,
      tickAtMs: Infinity,
    };
    deliver({
      kind: 'configuration-accepted',
      configuration: world.configuration,
    });
    deliver({kind: 'freshness-changed', fresh: true});
    if (view) {
      deliver({kind: 'membership-changed', view});
    }
  }

  function pauseFor(durationMs: number): void {
    const current = active;
    if (!current) {
      return;
    }
    current.pausedUntilMs = loop.nowMs() + durationMs;
    loop.at(current.pausedUntilMs, () => {
      if (active !== current) {
        return;
      }
      for (const call of current.backlog.splice(0)) {
        call();
      }
    });
  }

  return {
    vm,
    location: location,
    up: () => active !== undefined,
    incarnation: currentIncarnation,
    paused: () => active !== undefined && loop.nowMs() < active.pausedUntilMs,
    accept,
    cancelRequest: abandon,
    deliver,
    perform,
    crash,
    boot,
    pauseFor,
    steering: () => active?.steering,
  };
}
