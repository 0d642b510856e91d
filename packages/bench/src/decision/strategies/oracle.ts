/**
 * Reference strategy with perfect information: one queue for the whole fleet
 * that sees the actual state of every target without delay. It respects the
 * same limits as the other strategies: slots, shift caps and link budgets.
 */
import type {
  AttemptResult,
  RegionName,
  RequestMetadata,
  RequestId,
  ServiceName,
  Steering,
  SteeringAction,
  SteeringEvent,
  TargetId,
} from '@ibisbeam/decision';
import type {SimulatedTarget} from '../simulated_target.js';
import {CALLERS_PER_REGION, SERVICE_LOADS} from '../workload.js';
import type {EntryVmHost, SteeringContext, Strategy, World} from '../types.js';
import {EMPTY_STATUS} from './baseline.js';
import {
  type ShiftCapTracker,
  createShiftCapTracker,
} from './shift_cap_tracker.js';

const MAXIMUM_ATTEMPTS = 3;
/** Link bandwidth reserved for one streamed response. */
const STREAM_BITS_PER_SECOND = 120_000_000;

interface PendingRequest {
  readonly metadata: RequestMetadata;
  readonly host: EntryVmHost;
  attempts: number;
  mayHaveRun: boolean;
  target?: TargetId;
  link?: string;
}

export function createOracle(): Strategy {
  return {
    name: 'oracle',
    boundsApply: false,
    createFactory: () => {
      let queue: OracleQueue | undefined;
      return context => {
        queue ??= createOracleQueue(context.world);
        return queue.steeringFor(context);
      };
    },
  };
}

interface OracleQueue {
  steeringFor(context: SteeringContext): Steering;
}

function createOracleQueue(world: World): OracleQueue {
  const queues = new Map<ServiceName, PendingRequest[]>();
  const pending = new Map<RequestId, PendingRequest>();
  const committed = new Map<TargetId, number>();
  const linkFlows = new Map<string, number>();
  const crashes = new Map<string, number>();
  const shiftCap: ShiftCapTracker = createShiftCapTracker(
    world.configuration,
    CALLERS_PER_REGION,
  );

  function usable(request: PendingRequest, target: SimulatedTarget): boolean {
    const {id, region, slots} = target.specification;
    const {vm} = request.host;
    const used = Math.max(committed.get(id) ?? 0, target.inFlight());
    return (
      target.up() &&
      !target.leaving() &&
      !target.faults.failsFast &&
      used < slots &&
      world.regionUp(region) &&
      world.network.reachable(vm.region, region) &&
      linkHasCapacity(request, region) &&
      shiftCap.allows(request.metadata, region, world.loop.nowMs())
    );
  }

  function linkHasCapacity(
    request: PendingRequest,
    region: RegionName,
  ): boolean {
    const link = linkOf(request, region);
    if (link === undefined) {
      return true;
    }
    const configured = world.configuration.links.find(
      one => `${one.from}>${one.to}` === link,
    );
    const budget = configured
      ? configured.bitsPerSecond * configured.usableFraction
      : 0;
    const flows = (linkFlows.get(link) ?? 0) + 1;
    return flows * STREAM_BITS_PER_SECOND <= budget;
  }

  function linkOf(
    request: PendingRequest,
    region: RegionName,
  ): string | undefined {
    const home = request.host.vm.region;
    const streams = (request.metadata.expectedResponseBytes ?? 0) > 0;
    return streams && region !== home ? `${region}>${home}` : undefined;
  }

  function bestTarget(request: PendingRequest): SimulatedTarget | undefined {
    const {meanSlotMs} = SERVICE_LOADS[request.metadata.service]!;
    let best: SimulatedTarget | undefined;
    let bestMs = Infinity;
    for (const target of world.targets.values()) {
      if (serviceOf(world, target) !== request.metadata.service) {
        continue;
      }
      if (!usable(request, target)) {
        continue;
      }
      const roundTripMs =
        2 * world.network.oneWayMs(request.host.location, target.specification);
      const expectedMs = roundTripMs + meanSlotMs * target.speedFactor();
      if (expectedMs < bestMs) {
        best = target;
        bestMs = expectedMs;
      }
    }
    return best;
  }

  /** Assigns free slots to queued requests in FIFO order. */
  function dispatchQueued(service: ServiceName): void {
    const nowMs = world.loop.nowMs();
    const withoutTarget = new Set<string>();
    const remaining: PendingRequest[] = [];
    for (const request of queues.get(service) ?? []) {
      const {metadata, host} = request;
      const equivalenceKey = `${host.vm.id}/${metadata.homeRegion}/${shiftCap.canMove(metadata, nowMs)}`;
      const target = withoutTarget.has(equivalenceKey)
        ? undefined
        : bestTarget(request);
      if (target) {
        dispatch(request, target);
      } else if (metadata.deadlineMs <= nowMs) {
        refuse(request, request.mayHaveRun ? 'unknown' : 'not-run');
      } else {
        withoutTarget.add(equivalenceKey);
        remaining.push(request);
      }
    }
    queues.set(service, remaining);
  }

  function dispatch(request: PendingRequest, target: SimulatedTarget): void {
    const {id, region} = target.specification;
    request.attempts += 1;
    request.target = id;
    request.link = linkOf(request, region);
    committed.set(id, (committed.get(id) ?? 0) + 1);
    if (request.link !== undefined) {
      linkFlows.set(request.link, (linkFlows.get(request.link) ?? 0) + 1);
    }
    shiftCap.note(request.metadata, region, world.loop.nowMs());
    scheduleAction(request, {
      kind: 'send-attempt',
      request: request.metadata.id,
      attempt: request.attempts,
      destination: {kind: 'target', target: id},
      deadlineMs: request.metadata.deadlineMs,
      hedge: false,
    });
  }

  function scheduleAction(
    request: PendingRequest,
    action: SteeringAction,
  ): void {
    world.loop.after(0, () => request.host.perform([action]));
  }

  function release(request: PendingRequest): void {
    const {target, link} = request;
    if (target !== undefined) {
      committed.set(target, (committed.get(target) ?? 0) - 1);
      request.target = undefined;
    }
    if (link !== undefined) {
      linkFlows.set(link, (linkFlows.get(link) ?? 0) - 1);
      request.link = undefined;
    }
  }

  function refuse(
    request: PendingRequest,
    outcome: 'not-run' | 'unknown',
  ): void {
    pending.delete(request.metadata.id);
    const reason = 'deadline-expired';
    scheduleAction(request, {
      kind: 'refuse',
      request: request.metadata.id,
      reason,
      outcome,
    });
  }

  function enqueue(request: PendingRequest): void {
    const {service} = request.metadata;
    const queue = queues.get(service) ?? [];
    queues.set(service, queue);
    queue.push(request);
    dispatchQueued(service);
    world.loop.at(request.metadata.deadlineMs, () => dispatchQueued(service));
  }

  function finishAttempt(id: RequestId, result: AttemptResult): void {
    const request = pending.get(id);
    if (!request) {
      return;
    }
    release(request);
    if (result.kind === 'answered') {
      pending.delete(id);
    } else {
      retryOrRefuse(request, result);
    }
    dispatchQueued(request.metadata.service);
  }

  function retryOrRefuse(request: PendingRequest, result: AttemptResult): void {
    const {metadata} = request;
    const notRun = result.kind === 'shed' || result.kind === 'not-sent';
    if (result.kind === 'broken') {
      crashes.set(
        metadata.fingerprint,
        (crashes.get(metadata.fingerprint) ?? 0) + 1,
      );
    }
    request.mayHaveRun ||= !notRun;
    const suspected = (crashes.get(metadata.fingerprint) ?? 0) > 1;
    const allowed = notRun || (metadata.idempotent && !suspected);
    if (allowed && request.attempts < MAXIMUM_ATTEMPTS) {
      enqueue(request);
      return;
    }
    refuse(request, request.mayHaveRun ? 'unknown' : 'not-run');
  }

  function cancel(id: RequestId): readonly SteeringAction[] {
    const request = pending.get(id);
    if (!request) {
      return [];
    }
    const queue = queues.get(request.metadata.service) ?? [];
    const position = queue.indexOf(request);
    if (position >= 0) {
      queue.splice(position, 1);
      pending.delete(id);
      return [];
    }
    return [{kind: 'cancel-attempt', request: id, attempt: request.attempts}];
  }

  function steeringFor(context: SteeringContext): Steering {
    dropPreviousIncarnation(context);

    function step(event: SteeringEvent): readonly SteeringAction[] {
      switch (event.kind) {
        case 'request-arrived': {
          const host = world.hosts.get(context.vm.id)!;
          const metadata = event.request;
          const request: PendingRequest = {
            metadata,
            host,
            attempts: 0,
            mayHaveRun: false,
          };
          pending.set(metadata.id, request);
          if ((crashes.get(metadata.fingerprint) ?? 0) > 1) {
            refuse(request, 'not-run');
            return [];
          }
          enqueue(request);
          return [];
        }
        case 'attempt-finished':
          finishAttempt(event.request, event.result);
          return [];
        case 'request-cancelled':
          return cancel(event.request);
        default:
          return [];
      }
    }

    return {step, status: () => EMPTY_STATUS};
  }

  /** Releases the slots and links held by an earlier incarnation of the VM. */
  function dropPreviousIncarnation(context: SteeringContext): void {
    for (const [id, request] of pending) {
      if (request.host.vm.id !== context.vm.id) {
        continue;
      }
      release(request);
      pending.delete(id);
      const queue = queues.get(request.metadata.service) ?? [];
      const position = queue.indexOf(request);
      if (position >= 0) {
        queue.splice(position, 1);
      }
    }
  }

  return {steeringFor};
}

function serviceOf(
  world: World,
  target: SimulatedTarget,
): ServiceName | undefined {
  return world.configuration.targets.get(target.specification.id)?.service;
}
