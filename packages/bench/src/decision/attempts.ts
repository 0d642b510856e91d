/**
 * Attempts of one simulated entry VM: connections, responses, streamed flows
 * and deadlines.
 */
import type {
  AttemptResult,
  EntryVm,
  RequestId,
  SteeringAction,
  SteeringEvent,
  TargetId,
} from '@ibisbeam/decision';
import type {SimulatedTarget, TargetReply} from './simulated_target.js';
import type {ScheduledCall} from './event_loop.js';
import type {Location} from './network.js';
import type {Arrival, EntryVmHost, Reply, World} from './types.js';

const CONNECTION_SETUP_MS = 1;
const CONNECT_TIMEOUT_MS = 1_000;
/** Maximum send rate of one slot of a target. */
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
  /** Defers a call while the process is paused and drops it after a crash. */
  whenRunning(call: () => void): () => void;
  step(event: SteeringEvent): void;
  finish(attempt: Attempt, result: AttemptResult): void;
  arrivalOf(request: RequestId): Arrival | undefined;
}

export interface Attempts {
  start(action: SendAttempt): void;
  cancel(request: RequestId, number: number): void;
  /** Closes all connections after a crash of the process. */
  dropAll(): void;
}

export function createAttempts(
  world: World,
  vm: EntryVm,
  owner: AttemptOwner,
): Attempts {
  const {loop, network} = world;
  const location: Location = {region: vm.region, zone: vm.zone};
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
      loop.after(network.oneWayMs(location, target.specification), () =>
        submitToTarget(attempt, arrival, target),
      );
    });
  }

  function submitToTarget(
    attempt: Attempt,
    arrival: Arrival,
    target: SimulatedTarget,
  ): void {
    const {region} = target.specification;
    if (!world.regionUp(region) || !network.reachable(vm.region, region)) {
      return;
    }
    const {operation} = arrival;
    target.submit({
      request: attempt.request,
      fingerprint: operation.id,
      serviceMs: operation.serviceMs,
      crashesTarget: operation.crashesTarget,
      streams: operation.responseBytes > 0,
      onReply: reply => deliverReply(attempt, arrival, target, reply),
    });
  }

  function deliverReply(
    attempt: Attempt,
    arrival: Arrival,
    target: SimulatedTarget,
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
      network.oneWayMs(location, target.specification),
      owner.whenRunning(() => {
        if (leaving) {
          reportLeaving(target.specification.id);
        }
        handleReply(attempt, arrival, target, reply);
      }),
    );
  }

  function reportLeaving(target: TargetId): void {
    world.record({kind: 'leaving-signed', atMs: loop.nowMs(), target});
    owner.step({kind: 'target-leaving', target, source: 'refusal'});
  }

  function handleReply(
    attempt: Attempt,
    arrival: Arrival,
    target: SimulatedTarget,
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
        reportResponseHead(attempt, arrival, reply.status);
        finish(attempt, {kind: 'answered', status: reply.status});
        return;
      case 'streaming':
        reportResponseHead(attempt, arrival, reply.status);
        stream(attempt, arrival, target, reply.status);
        return;
    }
  }

  function reportResponseHead(
    attempt: Attempt,
    arrival: Arrival,
    status: number,
  ): void {
    arrival.onResponseHead(status);
    owner.step({
      kind: 'attempt-answering',
      request: attempt.request,
      attempt: attempt.number,
      status,
      contentLength: arrival.operation.responseBytes,
    });
  }

  /** Streams the body, to the region of the relaying VM if it is relayed. */
  function stream(
    attempt: Attempt,
    arrival: Arrival,
    target: SimulatedTarget,
    status: number,
  ): void {
    const pacedBitsPerSecond =
      (attempt.action.paceBytesPerSecond ?? Infinity) * BITS_PER_BYTE;
    const slotBitsPerSecond = STREAM_BITS_PER_SECOND / target.faults.slowFactor;
    attempt.flow = network.startFlow({
      from: target.specification.region,
      to: arrival.relayedFrom?.region ?? vm.region,
      bytes: arrival.operation.responseBytes,
      bitsPerSecondLimit: Math.min(pacedBitsPerSecond, slotBitsPerSecond),
      onDone: () => {
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
    connect(attempt, {...peer.location, id: peer.vm.id}, peer.up(), () => {
      markSent(attempt);
      loop.after(network.oneWayMs(location, peer.location), () => {
        if (!network.reachable(vm.region, peer.vm.region)) {
          return;
        }
        peer.accept({
          request: attempt.request,
          operation: arrival.operation,
          relayedFrom: {vm: vm.id, region: vm.region},
          onResponseHead: status =>
            receiveFromPeer(peer, () => {
              if (!attempt.finished) {
                reportResponseHead(attempt, arrival, status);
              }
            }),
          onReply: reply =>
            receiveFromPeer(peer, () => finish(attempt, resultOfRelay(reply))),
        });
      });
    });
  }

  function receiveFromPeer(peer: EntryVmHost, call: () => void): void {
    if (!network.reachable(vm.region, peer.vm.region)) {
      return;
    }
    loop.after(
      network.oneWayMs(location, peer.location),
      owner.whenRunning(call),
    );
  }

  /** Calls `onReady` once connected; finishes the attempt if that fails. */
  function connect(
    attempt: Attempt,
    to: Location & {readonly id: string},
    up: boolean,
    onReady: () => void,
  ): void {
    const roundTripMs = 2 * network.oneWayMs(location, to);
    const reusesConnection = connected.has(to.id);
    if (
      !world.regionUp(to.region) ||
      !network.reachable(vm.region, to.region)
    ) {
      connected.delete(to.id);
      if (reusesConnection) {
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
    if (reusesConnection) {
      onReady();
      return;
    }
    after(CONNECTION_SETUP_MS + roundTripMs, () => {
      connected.add(to.id);
      if (!attempt.finished) {
        onReady();
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
    closeConnection(attempt);
    finish(
      attempt,
      attempt.sent
        ? {kind: 'timed-out'}
        : {kind: 'not-sent', cause: 'deadline before connection'},
    );
  }

  /** Closes the connection; the other end notices after the one-way delay. */
  function closeConnection(attempt: Attempt): void {
    attempt.flow?.cancel();
    if (!attempt.sent) {
      return;
    }
    const {destination} = attempt.action;
    if (destination.kind === 'target') {
      const target = world.targets.get(destination.target);
      if (target) {
        loop.after(network.oneWayMs(location, target.specification), () =>
          target.cancel(attempt.request),
        );
      }
      return;
    }
    const peer = world.hosts.get(destination.vm);
    if (peer && network.reachable(vm.region, peer.vm.region)) {
      loop.after(network.oneWayMs(location, peer.location), () =>
        peer.cancelRequest(attempt.request),
      );
    }
  }

  function cancel(request: RequestId, number: number): void {
    const attempt = attempts.get(keyOf(request, number));
    if (!attempt) {
      return;
    }
    closeConnection(attempt);
    finish(attempt, {kind: 'cancelled', sent: attempt.sent});
  }

  function dropAll(): void {
    for (const attempt of attempts.values()) {
      attempt.finished = true;
      attempt.deadline?.cancel();
      closeConnection(attempt);
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
