/** Delays, cuts between regions, and the shared rates of region links. */
import type {RegionName, ZoneName} from '@ibisbeam/decision';
import type {TraceEvent} from '@ibisbeam/invariants';
import type {EventLoop, ScheduledCall} from './event_loop.js';

const WITHIN_ZONE_MS = 0.25;
const BETWEEN_ZONES_MS = 1.5;
const BETWEEN_REGIONS_MS = 20;
const TO_CLIENT_MS = 8;
const BITS_PER_BYTE = 8;
/** Less than this is left of a flow only through rounding. */
const NEGLIGIBLE_BITS = 1e-3;

export interface Place {
  readonly region: RegionName;
  readonly zone: ZoneName;
}

export interface FlowRequest {
  readonly from: RegionName;
  readonly to: RegionName;
  readonly bytes: number;
  /** What the sender can do at most. */
  readonly bitsPerSecondLimit: number;
  readonly done: () => void;
}

export interface Network {
  oneWayMs(from: Place, to: Place): number;
  clientOneWayMs(home: RegionName, vm: Place): number;
  reachable(from: RegionName, to: RegionName): boolean;
  cut(one: RegionName, other: RegionName): void;
  mend(one: RegionName, other: RegionName): void;
  startFlow(flow: FlowRequest): ScheduledCall;
}

interface Flow extends FlowRequest {
  remainingBits: number;
  rate: number;
}

interface LinkState {
  readonly flows: Set<Flow>;
  updatedMs: number;
  wake?: ScheduledCall;
}

export function createNetwork(
  loop: EventLoop,
  linkBitsPerSecond: number,
  record: (event: TraceEvent) => void,
): Network {
  const cuts = new Set<string>();
  const links = new Map<string, LinkState>();

  function linkOf(from: RegionName, to: RegionName): LinkState {
    const key = `${from}>${to}`;
    const known = links.get(key);
    if (known) {
      return known;
    }
    const made: LinkState = {flows: new Set(), updatedMs: loop.nowMs()};
    links.set(key, made);
    return made;
  }

  function progress(link: LinkState): void {
    const seconds = (loop.nowMs() - link.updatedMs) / 1_000;
    link.updatedMs = loop.nowMs();
    for (const flow of link.flows) {
      flow.remainingBits -= flow.rate * seconds;
    }
  }

  function settle(link: LinkState, from: RegionName, to: RegionName): void {
    progress(link);
    const finished = [...link.flows].filter(
      flow => flow.remainingBits <= NEGLIGIBLE_BITS,
    );
    for (const flow of finished) {
      link.flows.delete(flow);
    }
    shareRate(link.flows, linkBitsPerSecond);
    record({
      kind: 'link-rate',
      atMs: loop.nowMs(),
      from,
      to,
      bitsPerSecond: totalRate(link.flows),
    });
    link.wake?.cancel();
    link.wake = undefined;
    if (link.flows.size > 0) {
      link.wake = loop.after(nextFinishMs(link.flows), () =>
        settle(link, from, to),
      );
    }
    for (const flow of finished) {
      flow.done();
    }
  }

  function startFlow(request: FlowRequest): ScheduledCall {
    const {from, to, bytes, bitsPerSecondLimit} = request;
    const bits = bytes * BITS_PER_BYTE;
    if (from === to) {
      return loop.after((bits / bitsPerSecondLimit) * 1_000, request.done);
    }
    const link = linkOf(from, to);
    const flow: Flow = {...request, remainingBits: bits, rate: 0};
    progress(link);
    link.flows.add(flow);
    settle(link, from, to);
    return {
      cancel: () => {
        if (link.flows.delete(flow)) {
          settle(link, from, to);
        }
      },
    };
  }

  return {
    oneWayMs,
    clientOneWayMs: (home, vm) =>
      TO_CLIENT_MS + (home === vm.region ? 0 : BETWEEN_REGIONS_MS),
    reachable: (from, to) => from === to || !cuts.has(pairKey(from, to)),
    cut: (one, other) => {
      cuts.add(pairKey(one, other));
    },
    mend: (one, other) => {
      cuts.delete(pairKey(one, other));
    },
    startFlow,
  };
}

function pairKey(one: RegionName, other: RegionName): string {
  return one < other ? `${one}|${other}` : `${other}|${one}`;
}

function oneWayMs(from: Place, to: Place): number {
  if (from.region !== to.region) {
    return BETWEEN_REGIONS_MS;
  }
  return from.zone === to.zone ? WITHIN_ZONE_MS : BETWEEN_ZONES_MS;
}

/** Max-min fair shares: flows below the fair share leave theirs to others. */
function shareRate(flows: ReadonlySet<Flow>, linkBitsPerSecond: number): void {
  const ordered = [...flows].sort(
    (left, right) => left.bitsPerSecondLimit - right.bitsPerSecondLimit,
  );
  let left = linkBitsPerSecond;
  let waiting = ordered.length;
  for (const flow of ordered) {
    flow.rate = Math.min(flow.bitsPerSecondLimit, left / waiting);
    left -= flow.rate;
    waiting -= 1;
  }
}

function totalRate(flows: ReadonlySet<Flow>): number {
  let total = 0;
  for (const flow of flows) {
    total += flow.rate;
  }
  return total;
}

function nextFinishMs(flows: ReadonlySet<Flow>): number {
  let soonest = Infinity;
  for (const flow of flows) {
    soonest = Math.min(soonest, (flow.remainingBits / flow.rate) * 1_000);
  }
  return Math.max(soonest, 0.001);
}
