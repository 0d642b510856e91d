/**
 * Simulated network: delays, partitions between regions, and links between
 * regions whose bandwidth is shared by their flows.
 */
import type {RegionName, ZoneName} from '@ibisbeam/decision';
import type {TraceEvent} from '@ibisbeam/invariants';
import type {EventLoop, ScheduledCall} from './event_loop.js';

const SAME_ZONE_DELAY_MS = 0.25;
const INTER_ZONE_DELAY_MS = 1.5;
const INTER_REGION_DELAY_MS = 20;
const CLIENT_DELAY_MS = 8;
const BITS_PER_BYTE = 8;
/** Remainders below this are rounding errors; the flow is complete. */
const NEGLIGIBLE_BITS = 1e-3;

export interface Location {
  readonly region: RegionName;
  readonly zone: ZoneName;
}

export interface FlowRequest {
  readonly from: RegionName;
  readonly to: RegionName;
  readonly bytes: number;
  /** Maximum send rate of the sender. */
  readonly bitsPerSecondLimit: number;
  readonly onDone: () => void;
}

export interface Network {
  oneWayMs(from: Location, to: Location): number;
  clientOneWayMs(home: RegionName, vm: Location): number;
  reachable(from: RegionName, to: RegionName): boolean;
  partition(one: RegionName, other: RegionName): void;
  heal(one: RegionName, other: RegionName): void;
  startFlow(flow: FlowRequest): ScheduledCall;
}

interface Flow extends FlowRequest {
  remainingBits: number;
  bitsPerSecond: number;
}

interface LinkState {
  readonly flows: Set<Flow>;
  updatedMs: number;
  nextCompletion?: ScheduledCall;
}

export function createNetwork(
  loop: EventLoop,
  linkBitsPerSecond: number,
  record: (event: TraceEvent) => void,
): Network {
  const partitions = new Set<string>();
  const links = new Map<string, LinkState>();

  function linkOf(from: RegionName, to: RegionName): LinkState {
    const key = `${from}>${to}`;
    const existing = links.get(key);
    if (existing) {
      return existing;
    }
    const created: LinkState = {flows: new Set(), updatedMs: loop.nowMs()};
    links.set(key, created);
    return created;
  }

  function advanceFlows(link: LinkState): void {
    const seconds = (loop.nowMs() - link.updatedMs) / 1_000;
    link.updatedMs = loop.nowMs();
    for (const flow of link.flows) {
      flow.remainingBits -= flow.bitsPerSecond * seconds;
    }
  }

  function reallocate(link: LinkState, from: RegionName, to: RegionName): void {
    advanceFlows(link);
    const finished = [...link.flows].filter(
      flow => flow.remainingBits <= NEGLIGIBLE_BITS,
    );
    for (const flow of finished) {
      link.flows.delete(flow);
    }
    allocateFairShares(link.flows, linkBitsPerSecond);
    record({
      kind: 'link-rate',
      atMs: loop.nowMs(),
      from,
      to,
      bitsPerSecond: totalRate(link.flows),
    });
    link.nextCompletion?.cancel();
    link.nextCompletion = undefined;
    if (link.flows.size > 0) {
      link.nextCompletion = loop.after(nextCompletionMs(link.flows), () =>
        reallocate(link, from, to),
      );
    }
    for (const flow of finished) {
      flow.onDone();
    }
  }

  function startFlow(request: FlowRequest): ScheduledCall {
    const {from, to, bytes, bitsPerSecondLimit} = request;
    const bits = bytes * BITS_PER_BYTE;
    if (from === to) {
      return loop.after((bits / bitsPerSecondLimit) * 1_000, request.onDone);
    }
    const link = linkOf(from, to);
    const flow: Flow = {...request, remainingBits: bits, bitsPerSecond: 0};
    advanceFlows(link);
    link.flows.add(flow);
    reallocate(link, from, to);
    return {
      cancel: () => {
        if (link.flows.delete(flow)) {
          reallocate(link, from, to);
        }
      },
    };
  }

  return {
    oneWayMs,
    clientOneWayMs: (home, vm) =>
      CLIENT_DELAY_MS + (home === vm.region ? 0 : INTER_REGION_DELAY_MS),
    reachable: (from, to) => from === to || !partitions.has(pairKey(from, to)),
    partition: (one, other) => {
      partitions.add(pairKey(one, other));
    },
    heal: (one, other) => {
      partitions.delete(pairKey(one, other));
    },
    startFlow,
  };
}

function pairKey(one: RegionName, other: RegionName): string {
  return one < other ? `${one}|${other}` : `${other}|${one}`;
}

function oneWayMs(from: Location, to: Location): number {
  if (from.region !== to.region) {
    return INTER_REGION_DELAY_MS;
  }
  return from.zone === to.zone ? SAME_ZONE_DELAY_MS : INTER_ZONE_DELAY_MS;
}

/**
 * Allocates the bandwidth max-min fairly: what flows below their fair share do
 * not use is divided among the others.
 */
function allocateFairShares(
  flows: ReadonlySet<Flow>,
  linkBitsPerSecond: number,
): void {
  const ordered = [...flows].sort(
    (left, right) => left.bitsPerSecondLimit - right.bitsPerSecondLimit,
  );
  let remainingBitsPerSecond = linkBitsPerSecond;
  let unallocatedFlows = ordered.length;
  for (const flow of ordered) {
    flow.bitsPerSecond = Math.min(
      flow.bitsPerSecondLimit,
      remainingBitsPerSecond / unallocatedFlows,
    );
    remainingBitsPerSecond -= flow.bitsPerSecond;
    unallocatedFlows -= 1;
  }
}

function totalRate(flows: ReadonlySet<Flow>): number {
  let total = 0;
  for (const flow of flows) {
    total += flow.bitsPerSecond;
  }
  return total;
}

function nextCompletionMs(flows: ReadonlySet<Flow>): number {
  let earliestMs = Infinity;
  for (const flow of flows) {
    earliestMs = Math.min(
      earliestMs,
      (flow.remainingBits / flow.bitsPerSecond) * 1_000,
    );
  }
  return Math.max(earliestMs, 0.001);
}
