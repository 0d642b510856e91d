/** The attempts of one entry VM: connections, answers, flows and deadlines. */
import type {
  AttemptResult,
  EntryVm,
  RequestId,
  SteeringAction,
  SteeringEvent,
  TargetId,
} from '@ibisbeam/decision';
import type {BenchTarget, TargetReply} from './simulated_target.js';
import type {ScheduledCall} from './event_loop.js';
import type {Place} from './network.js';
import type {Arrival, EntryVmHost, Reply, World} from './types.js';

const CONNECTION_OPENING_MS = 1;
const CONNECT_TIMEOUT_MS = 1_000;
/** What one slot of a target can send. */
const STREAM_BITS_PER_SECOND = 120_000_000;
const BITS_PER_BYTE = 8;

export type SendAttempt = Extract<SteeringAction, {kind: 'send-attempt'}>;

export interface Attempt {
  readonly request: RequestId;
  readonly number: number;
  readonly action: SendAttempt;
  sent: boolean;
  finished: boolean;
  deadline?: ScheduledCall;
  flow?: ScheduledCall;
}

export interface AttemptOwner {
  /** Wraps a call so that it waits out a pause and dies with the process. */
  whenRunning(call: () => void): () => void;
  step(event: SteeringEvent): void;
  finish(attempt: Attempt, result: AttemptResult): void;
  arrivalOf(request: RequestId): Arrival | undefined;
}

export interface Attempts {
  start(action: SendAttempt): void;
  cancel(request: RequestId, number: number): void;
  /** The process died: targets and peers see its connections close. */
  dropAll(): void;
}

export function createAttempts(
  world: World,
  vm: EntryVm,
  owner: AttemptOwner,
): Attempts {
  const {loop, network} = world;
  const place: Place = {region: vm.region, zone: vm.zone};
  const attempts = new Map<string, Attempt>();
  const connected = new Set<string>();

  function start(action: SendAttempt): void {
    const attempt: Attempt = {
      request: action.request,
      number: action.attempt,
      action,
      sent: false,
      finished: false,
    };
    const arrival = owner.arrivalOf(action.request);
    if (!arrival) {
      owner.finish(attempt, {kind: 'not-sent', cause: 'caller gone'});
      return;
    }
    attempts.set(keyOf(action.request, action.attempt), attempt);
    attempt.deadline = loop.at(
      action.deadlineMs,
      owner.whenRunning(() => expire(attempt)),
    );
    const {destination} = action;
    if (destination.kind === 'target') {
      sendToTarget(attempt, arrival, destination.target);
      return;
    }
    const peer = world.hosts.get(destination.vm);
    if (peer) {
      sendToPeer(attempt, arrival, peer);
    }
  }

  function sendToTarget(
    attempt: Attempt,
    arrival: Arrival,
    id: TargetId,
  ): void {
    const target = world.targets.get(id);
    if (!target) {
      finish(attempt, {kind: 'not-sent', cause: 'unknown target'});
      return;
    }
    connect(attempt, target.specification, target.up(), () => {
      markSent(attempt);
      world.record({
        kind: 'attempt-sent',
        atMs: loop.nowMs(),
        vm: vm.id,
        request: attempt.request,
        target: id,
      });
      loop.after(network.oneWayMs(place, target.specification), () =>
        enterTarget(attempt, arrival, target),
      );
    });
  }

  function enterTarget(
    attempt: Attempt,
    arrival: Arrival,
    target: BenchTarget,
  ): void {
    const {region} = target.specification;
    if (!world.regionUp(region) || !network.reachable(vm.region, region)) {
      return;
    }
    const {operation} = arrival;
    target.enter({
      request: attempt.request,
      fingerprint: operation.id,
      serviceMs: operation.serviceMs,
      crashesTarget: operation.crashesTarget,
      streams: operation.responseBytes > 0,
      reply: reply => answerFrom(attempt, arrival, target, reply),
    });
  }

  function answerFrom(
    attempt: Attempt,
    arrival: Arrival,
    target: BenchTarget,
    reply: TargetReply,
  ): void {
    const {region} = target.specification;
    if (!world.regionUp(region) || !network.reachable(vm.region, region)) {
      return;
    }
    if (reply.kind === 'broken') {
      connected.delete(target.specification.id);
    }
    const leaving = target.leaving();
    loop.after(
      network.oneWayMs(place, target.specification),
      owner.whenRunning(() => {
        if (leaving) {
          signLeaving(target.specification.id);
        }
        takeReply(attempt, arrival, target, reply);
      }),
    );
  }

  function signLeaving(target: TargetId): void {
    world.record({kind: 'leaving-signed', atMs: loop.nowMs(), target});
    owner.step({kind: 'target-leaving', target, source: 'refusal'});
  }

  function takeReply(
    attempt: Attempt,
    arrival: Arrival,
    target: BenchTarget,
    reply: TargetReply,
  ): void {
    if (attempt.finished) {
      return;
    }
    switch (reply.kind) {
      case 'shed':
        finish(attempt, {kind: 'shed'});
        return;
      case 'broken':
        finish(attempt, {kind: 'broken', cause: 'connection reset'});
        return;
      case 'answered':
        announce(attempt, arrival, reply.status);
        finish(attempt, {kind: 'answered', status: reply.status});
        return;
      case 'streaming':
        announce(attempt, arrival, reply.status);
        stream(attempt, arrival, target, reply.status);
        return;
    }
  }

  function announce(attempt: Attempt, arrival: Arrival, status: number): void {
    arrival.answering(status);
    owner.step({
      kind: 'attempt-answering',
      request: attempt.request,
      attempt: attempt.number,
      status,
      contentLength: arrival.operation.responseBytes,
    });
  }

  /** A relayed answer crosses the link to the VM that passed it on. */
  function stream(
    attempt: Attempt,
    arrival: Arrival,
    target: BenchTarget,
    status: number,
  ): void {
    const paced =
      (attempt.action.paceBytesPerSecond ?? Infinity) * BITS_PER_BYTE;
    const own = STREAM_BITS_PER_SECOND / target.faults.slowFactor;
    attempt.flow = network.startFlow({
      from: target.specification.region,
      to: arrival.relayedFrom?.region ?? vm.region,
      bytes: arrival.operation.responseBytes,
      bitsPerSecondLimit: Math.min(paced, own),
      done: () => {
        target.finish(attempt.request);
        owner.whenRunning(() => finish(attempt, {kind: 'answered', status}))();
      },
    });
  }

  function sendToPeer(
    attempt: Attempt,
    arrival: Arrival,
    peer: EntryVmHost,
  ): void {
    connect(attempt, {...peer.place, id: peer.vm.id}, peer.up(), () => {
      markSent(attempt);
      loop.after(network.oneWayMs(place, peer.place), () => {
        if (!network.reachable(vm.region, peer.vm.region)) {
          return;
        }
        peer.accept({
          request: attempt.request,
          operation: arrival.operation,
          relayedFrom: {vm: vm.id, region: vm.region},
          answering: status =>
            fromPeer(peer, () => {
              if (!attempt.finished) {
                announce(attempt, arrival, status);
              }
            }),
          reply: reply =>
            fromPeer(peer, () => finish(attempt, resultOfRelay(reply))),
        });
      });
    });
  }

  function fromPeer(peer: EntryVmHost, call: () => void): void {
    if (!network.reachable(vm.region, peer.vm.region)) {
      return;
    }
    loop.after(network.oneWayMs(place, peer.place), owner.whenRunning(call));
  }

  /** Calls back once the first byte may go out, or finishes the attempt. */
  function connect(
    attempt: Attempt,
    to: Place & {readonly id: string},
    up: boolean,
    ready: () => void,
  ): void {
    const roundTripMs = 2 * network.oneWayMs(place, to);
    const pooled = connected.has(to.id);
    if (
      !world.regionUp(to.region) ||
      !network.reachable(vm.region, to.region)
    ) {
      connected.delete(to.id);
      if (pooled) {
        markSent(attempt);
        return;
      }
      after(CONNECT_TIMEOUT_MS, () =>
        finish(attempt, {kind: 'not-sent', cause: 'connection timed out'}),
      );
      return;
    }
    if (!up) {
      connected.delete(to.id);
      after(roundTripMs, () =>
        finish(attempt, {kind: 'not-sent', cause: 'connection refused'}),
      );
      return;
    }
    if (pooled) {
      ready();
      return;
    }
    after(CONNECTION_OPENING_MS + roundTripMs, () => {
      connected.add(to.id);
      if (!attempt.finished) {
        ready();
      }
    });
  }

  function after(delayMs: number, call: () => void): void {
    loop.after(delayMs, owner.whenRunning(call));
  }

  function markSent(attempt: Attempt): void {
    attempt.sent = true;
    owner.step({
      kind: 'attempt-sent',
      request: attempt.request,
      attempt: attempt.number,
    });
  }

  function finish(attempt: Attempt, result: AttemptResult): void {
    if (attempt.finished) {
      return;
    }
    attempt.finished = true;
    attempt.deadline?.cancel();
    attempts.delete(keyOf(attempt.request, attempt.number));
    owner.finish(attempt, result);
  }

  function expire(attempt: Attempt): void {
    if (attempt.finished) {
      return;
    }
    release(attempt);
    finish(
      attempt,
      attempt.sent
        ? {kind: 'timed-out'}
        : {kind: 'not-sent', cause: 'deadline before connection'},
    );
  }

  /** Closes the connection, which the other end sees one delay later. */
  function release(attempt: Attempt): void {
    attempt.flow?.cancel();
    if (!attempt.sent) {
      return;
    }
    const {destination} = attempt.action;
    if (destination.kind === 'target') {
      const target = world.targets.get(destination.target);
      if (target) {
        loop.after(network.oneWayMs(place, target.specification), () =>
          target.cancel(attempt.request),
        );
      }
      return;
    }
    const peer = world.hosts.get(destination.vm);
    if (peer && network.reachable(vm.region, peer.vm.region)) {
      loop.after(network.oneWayMs(place, peer.place), () =>
        peer.abandon(attempt.request),
      );
    }
  }

  function cancel(request: RequestId, number: number): void {
    const attempt = attempts.get(keyOf(request, number));
    if (!attempt) {
      return;
    }
    release(attempt);
    finish(attempt, {kind: 'cancelled', sent: attempt.sent});
  }

  function dropAll(): void {
    for (const attempt of attempts.values()) {
      attempt.finished = true;
      attempt.deadline?.cancel();
      release(attempt);
    }
    attempts.clear();
    connected.clear();
  }

  return {start, cancel, dropAll};
}

function keyOf(request: RequestId, number: number): string {
  return `${request}#${number}`;
}

function resultOfRelay(reply: Reply): AttemptResult {
  switch (reply.end.kind) {
    case 'answered':
      return {kind: 'answered', status: reply.status};
    case 'refused':
      return reply.end.outcome === 'not-run'
        ? {kind: 'shed', retryAfterMs: reply.retryAfterMs}
        : {kind: 'broken', cause: reply.end.reason};
    case 'no-answer':
      return {kind: 'broken', cause: 'relay lost'};
  }
}
