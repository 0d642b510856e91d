/**
 * The oracle: one queue for the fleet that sees the true state of every target
 * at once. It keeps the promises too: slots, shift caps and link budgets.
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
import type {BenchTarget} from '../simulated_target.js';
import {CALLERS_PER_REGION, SERVICE_LOADS} from '../workload.js';
import type {EntryVmHost, SteeringContext, Strategy, World} from '../types.js';
import {EMPTY_STATUS} from './baseline.js';
import {type MoveLedger, createMoveLedger} from './shift_cap_tracker.js';

const MAXIMUM_ATTEMPTS = 3;
/** What one streamed answer takes of a link. */
const STREAM_BITS_PER_SECOND = 120_000_000;

interface Waiting {
  readonly facts: RequestMetadata;
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
    prepare: () => {
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
  const queues = new Map<ServiceName, Waiting[]>();
  const held = new Map<RequestId, Waiting>();
  const committed = new Map<TargetId, number>();
  const linkFlows = new Map<string, number>();
  const crashes = new Map<string, number>();
  const moves: MoveLedger = createMoveLedger(
    world.configuration,
    CALLERS_PER_REGION,
  );

  function usable(waiting: Waiting, target: BenchTarget): boolean {
    const {id, region, slots} = target.specification;
    const {vm} = waiting.host;
    const used = Math.max(committed.get(id) ?? 0, target.held());
    return (
      target.up() &&
      !target.leaving() &&
      !target.faults.failsFast &&
      used < slots &&
      world.regionUp(region) &&
      world.network.reachable(vm.region, region) &&
      linkHasRoom(waiting, region) &&
      moves.allows(waiting.facts, region, world.loop.nowMs())
    );
  }

  function linkHasRoom(waiting: Waiting, region: RegionName): boolean {
    const link = linkOf(waiting, region);
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

  function linkOf(waiting: Waiting, region: RegionName): string | undefined {
    const home = waiting.host.vm.region;
    const streams = (waiting.facts.expectedResponseBytes ?? 0) > 0;
    return streams && region !== home ? `${region}>${home}` : undefined;
  }

  function bestTarget(waiting: Waiting): BenchTarget | undefined {
    const {slotMs} = SERVICE_LOADS[waiting.facts.service]!;
    let best: BenchTarget | undefined;
    let bestMs = Infinity;
    for (const target of world.targets.values()) {
      if (serviceOf(world, target) !== waiting.facts.service) {
        continue;
      }
      if (!usable(waiting, target)) {
        continue;
      }
      const roundTripMs =
        2 * world.network.oneWayMs(waiting.host.place, target.specification);
      const expectedMs = roundTripMs + slotMs * target.speedFactor();
      if (expectedMs < bestMs) {
        best = target;
        bestMs = expectedMs;
      }
    }
    return best;
  }

  /** Gives free slots to those who wait, first come first served. */
  function pump(service: ServiceName): void {
    const nowMs = world.loop.nowMs();
    const withoutTarget = new Set<string>();
    const left: Waiting[] = [];
    for (const waiting of queues.get(service) ?? []) {
      const {facts, host} = waiting;
      const alike = `${host.vm.id}/${facts.homeRegion}/${moves.free(facts, nowMs)}`;
      const target = withoutTarget.has(alike) ? undefined : bestTarget(waiting);
      if (target) {
        dispatch(waiting, target);
      } else if (facts.deadlineMs <= nowMs) {
        refuse(waiting, waiting.mayHaveRun ? 'unknown' : 'not-run');
      } else {
        withoutTarget.add(alike);
        left.push(waiting);
      }
    }
    queues.set(service, left);
  }

  function dispatch(waiting: Waiting, target: BenchTarget): void {
    const {id, region} = target.specification;
    waiting.attempts += 1;
    waiting.target = id;
    waiting.link = linkOf(waiting, region);
    committed.set(id, (committed.get(id) ?? 0) + 1);
    if (waiting.link !== undefined) {
      linkFlows.set(waiting.link, (linkFlows.get(waiting.link) ?? 0) + 1);
    }
    moves.note(waiting.facts, region, world.loop.nowMs());
    act(waiting, {
      kind: 'send-attempt',
      request: waiting.facts.id,
      attempt: waiting.attempts,
      destination: {kind: 'target', target: id},
      deadlineMs: waiting.facts.deadlineMs,
      hedge: false,
    });
  }

  function act(waiting: Waiting, action: SteeringAction): void {
    world.loop.after(0, () => waiting.host.perform([action]));
  }

  function release(waiting: Waiting): void {
    const {target, link} = waiting;
    if (target !== undefined) {
      committed.set(target, (committed.get(target) ?? 0) - 1);
      waiting.target = undefined;
    }
    if (link !== undefined) {
      linkFlows.set(link, (linkFlows.get(link) ?? 0) - 1);
      waiting.link = undefined;
    }
  }

  function refuse(waiting: Waiting, outcome: 'not-run' | 'unknown'): void {
    held.delete(waiting.facts.id);
    const reason = 'deadline-expired';
    act(waiting, {kind: 'refuse', request: waiting.facts.id, reason, outcome});
  }

  function enqueue(waiting: Waiting): void {
    const {service} = waiting.facts;
    const queue = queues.get(service) ?? [];
    queues.set(service, queue);
    queue.push(waiting);
    pump(service);
    world.loop.at(waiting.facts.deadlineMs, () => pump(service));
  }

  function finished(id: RequestId, result: AttemptResult): void {
    const waiting = held.get(id);
    if (!waiting) {
      return;
    }
    release(waiting);
    if (result.kind === 'answered') {
      held.delete(id);
    } else {
      again(waiting, result);
    }
    pump(waiting.facts.service);
  }

  function again(waiting: Waiting, result: AttemptResult): void {
    const {facts} = waiting;
    const notRun = result.kind === 'shed' || result.kind === 'not-sent';
    if (result.kind === 'broken') {
      crashes.set(facts.fingerprint, (crashes.get(facts.fingerprint) ?? 0) + 1);
    }
    waiting.mayHaveRun ||= !notRun;
    const suspected = (crashes.get(facts.fingerprint) ?? 0) > 1;
    const allowed = notRun || (facts.idempotent && !suspected);
    if (allowed && waiting.attempts < MAXIMUM_ATTEMPTS) {
      enqueue(waiting);
      return;
    }
    refuse(waiting, waiting.mayHaveRun ? 'unknown' : 'not-run');
  }

  function cancelled(id: RequestId): readonly SteeringAction[] {
    const waiting = held.get(id);
    if (!waiting) {
      return [];
    }
    const queue = queues.get(waiting.facts.service) ?? [];
    const position = queue.indexOf(waiting);
    if (position >= 0) {
      queue.splice(position, 1);
      held.delete(id);
      return [];
    }
    return [{kind: 'cancel-attempt', request: id, attempt: waiting.attempts}];
  }

  function steeringFor(context: SteeringContext): Steering {
    forgetLife(context);

    function step(event: SteeringEvent): readonly SteeringAction[] {
      switch (event.kind) {
        case 'request-arrived': {
          const host = world.hosts.get(context.vm.id)!;
          const facts = event.request;
          const waiting: Waiting = {
            facts,
            host,
            attempts: 0,
            mayHaveRun: false,
          };
          held.set(facts.id, waiting);
          if ((crashes.get(facts.fingerprint) ?? 0) > 1) {
            refuse(waiting, 'not-run');
            return [];
          }
          enqueue(waiting);
          return [];
        }
        case 'attempt-finished':
          finished(event.request, event.result);
          return [];
        case 'request-cancelled':
          return cancelled(event.request);
        default:
          return [];
      }
    }

    return {step, status: () => EMPTY_STATUS};
  }

  /** What an earlier life of the VM held is no longer committed. */
  function forgetLife(context: SteeringContext): void {
    for (const [id, waiting] of held) {
      if (waiting.host.vm.id !== context.vm.id) {
        continue;
      }
      release(waiting);
      held.delete(id);
      const queue = queues.get(waiting.facts.service) ?? [];
      const position = queue.indexOf(waiting);
      if (position >= 0) {
        queue.splice(position, 1);
      }
    }
  }

  return {steeringFor};
}

function serviceOf(world: World, target: BenchTarget): ServiceName | undefined {
  return world.configuration.targets.get(target.specification.id)?.service;
}
