/** An entry VM of the bench: turns events into steps and actions into sends. */
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

/** Round trip to the store within its own region, with its work. */
const STORE_CALL_MS = 4;
/** Retry-after given with an operation that is in progress elsewhere. */
const IN_PROGRESS_RETRY_MS = 1_000;
/** A timer never fires in the moment in which it is set. */
const TIMER_GRAIN_MS = 0.125;

interface Held {
  readonly arrival: Arrival;
  /** Whether this VM holds the claim of the operation. */
  readonly claimed: boolean;
}

/** One life of the process; dropped as a whole when it dies. */
interface Life {
  readonly steering: Steering;
  readonly requests: Map<RequestId, Held>;
  readonly inbox: SteeringEvent[];
  readonly backlog: (() => void)[];
  stepping: boolean;
  pausedUntilMs: number;
  wake?: ScheduledCall;
  wakeAtMs: number;
}

export function createEntryVmHost(world: World, vm: EntryVm): EntryVmHost {
  const {loop} = world;
  const place = {region: vm.region, zone: vm.zone};
  let life: Life | undefined;
  let lives = 0;

  const attempts = createAttempts(world, vm, {
    whenRunning,
    step: deliver,
    finish: finishAttempt,
    arrivalOf: request => life?.requests.get(request)?.arrival,
  });

  /** Runs a call of this life: later if it is paused, never if it died. */
  function whenRunning(call: () => void): () => void {
    const mine = life;
    return () => {
      if (!mine || mine !== life) {
        return;
      }
      if (loop.nowMs() < mine.pausedUntilMs) {
        mine.backlog.push(call);
        return;
      }
      call();
    };
  }

  function deliver(event: SteeringEvent): void {
    const current = life;
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

  function stepOnce(current: Life, event: SteeringEvent): void {
    const nowMs = loop.nowMs();
    const actions = current.steering.step(event, {nowMs, wallMs: nowMs});
    perform(actions);
    if (event.kind === 'attempt-finished') {
      concludeAnswered(event.request, event.result, actions);
    }
  }

  /** An answer goes to the caller unless steering tries again. */
  function concludeAnswered(
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
    conclude(request, {
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
        conclude(action.request, {
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
        scheduleWake(action.nowMs);
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
    loop.after(world.network.oneWayMs(place, peer.place), () =>
      peer.deliver({kind: 'peer-message', from: vm.id, message}),
    );
  }

  function scheduleWake(atMs: number): void {
    const current = life;
    if (!current || atMs >= current.wakeAtMs) {
      return;
    }
    current.wake?.cancel();
    current.wakeAtMs = atMs;
    current.wake = loop.at(
      Math.max(atMs, loop.nowMs() + TIMER_GRAIN_MS),
      whenRunning(() => {
        current.wakeAtMs = Infinity;
        deliver({kind: 'tick'});
      }),
    );
  }

  function accept(arrival: Arrival): void {
    if (!life) {
      arrival.reply({end: {kind: 'no-answer'}, status: 0});
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
        arrival.reply({
          end: {kind: 'answered', answerTo: arrival.request, whole: true},
          status: decision.status,
        });
        return;
      case 'in-progress':
        arrival.reply({
          end: {
            kind: 'refused',
            reason: 'idempotency-key-in-use',
            outcome: 'unknown',
          },
          status: 409,
          retryAfterMs: IN_PROGRESS_RETRY_MS,
        });
        return;
      case 'outcome-unknown':
        arrival.reply({
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
    life?.requests.set(request, {arrival, claimed});
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

  function conclude(request: RequestId, reply: Reply): void {
    const held = life?.requests.get(request);
    if (!held) {
      return;
    }
    life?.requests.delete(request);
    if (held.claimed) {
      endClaim(held.arrival.operation.id, reply);
    }
    held.arrival.reply(reply);
  }

  function endClaim(operation: string, reply: Reply): void {
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
      const held = life?.requests.get(request);
      if (!held) {
        return;
      }
      life?.requests.delete(request);
      if (held.claimed) {
        world.claims.unknown(held.arrival.operation.id);
      }
      deliver({kind: 'request-cancelled', request});
    })();
  }

  function crash(): void {
    const dead = life;
    if (!dead) {
      return;
    }
    life = undefined;
    dead.wake?.cancel();
    attempts.dropAll();
    world.record({kind: 'vm-lost', atMs: loop.nowMs(), vm: vm.id});
    for (const [request, held] of dead.requests) {
      if (held.claimed) {
        world.claims.unknown(held.arrival.operation.id);
      }
      world.record({
        kind: 'request-cut',
        atMs: loop.nowMs(),
        vm: vm.id,
        request,
        cause: 'crash',
      });
      held.arrival.reply({end: {kind: 'no-answer'}, status: 0});
    }
  }

  function currentIncarnation(): Incarnation {
    return incarnation(`${vm.id}-${lives}`);
  }

  function boot(view: MembershipView | undefined): void {
    lives += 1;
    const steering = world.createSteering({
      vm,
      incarnation: currentIncarnation(),
      random: world.random(`${vm.id}-${lives}`),
      world,
    });
    life = {
      steering,
      requests: new Map(),
      inbox: [],
      backlog: [],
      stepping: false,
      pausedUntilMs: 0,
      wakeAtMs: Infinity,
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

  function pauseFor(spanMs: number): void {
    const current = life;
    if (!current) {
      return;
    }
    current.pausedUntilMs = loop.nowMs() + spanMs;
    loop.at(current.pausedUntilMs, () => {
      if (life !== current) {
        return;
      }
      for (const call of current.backlog.splice(0)) {
        call();
      }
    });
  }

  return {
    vm,
    place,
    up: () => life !== undefined,
    incarnation: currentIncarnation,
    paused: () => life !== undefined && loop.nowMs() < life.pausedUntilMs,
    accept,
    abandon,
    deliver,
    perform,
    crash,
    boot,
    pauseFor,
    steering: () => life?.steering,
  };
}
