/** Measures control traffic, store calls and roll-out time of a fleet. */
import type {Generation, VmId} from '@ibisbeam/decision';
import {type ControlFleet, createControlFleet} from './control_fleet.js';
import {
  type FleetSize,
  drainsSection,
  scaledDocument,
} from './scaled_configuration.js';

const WARM_UP_MS = 20_000;
const STEADY_STATE_MS = 10_000;
const CHANGE_COUNT = 3;
const CHANGE_INTERVAL_MS = 12_000;
const ZONE_LOSS_OBSERVATION_MS = 15_000;

export interface ControlFigures {
  readonly size: FleetSize;
  /** Sent and received bytes per second of a node, with all headers. */
  readonly meanBytesPerSecond: number;
  readonly busiestBytesPerSecond: number;
  readonly membershipBytesPerSecond: number;
  readonly configurationBytesPerSecond: number;
  readonly steeringBytesPerSecond: number;
  readonly meanMessagesPerSecond: number;
  readonly maximumLinks: number;
  /** Watches open at the same time; each is one call to the store. */
  readonly waitingWatches: number;
  readonly storeReadsPerSecond: number;
  /** Longest time from a write until it is in force on every node. */
  readonly inForceMs: number;
  /** Mean bytes of a node for one change, in excess of the steady state. */
  readonly bytesPerChange: number;
  readonly storeReadsPerChange: number;
  /** Store reads in the first 20 s, while the whole fleet starts. */
  readonly storeReadsAtStart: number;
  readonly inForceAtStartMs: number;
  /** Mean rate of the busiest node for 15 s after the loss of a zone. */
  readonly zoneLossBytesPerSecond: number;
  /** Time until no remaining node considers a lost node live. */
  readonly zoneLossDetectionMs: number;
  /** Processor time per node and second of virtual time, in steady state. */
  readonly processorMsPerSecond: number;
}

export function measureControl(
  size: FleetSize,
  withSteering = true,
): ControlFigures {
  const fleet = createControlFleet(scaledDocument(size), withSteering);
  fleet.start();
  fleet.loop.runUntil(WARM_UP_MS);
  const storeReadsAtStart = countReads(fleet);
  const inForceAtStartMs = lastInForceMs(fleet, 1) ?? Infinity;
  const steady = measureSteady(fleet);
  const changes = measureChanges(fleet, steady.configurationBytesPerSecond);
  const zoneLoss = measureZoneLoss(fleet);
  return {
    size,
    ...steady,
    ...changes,
    ...zoneLoss,
    storeReadsAtStart,
    inForceAtStartMs,
  };
}

function measureSteady(fleet: ControlFleet) {
  fleet.resetCounters();
  const before = process.cpuUsage();
  fleet.loop.runUntil(fleet.loop.nowMs() + STEADY_STATE_MS);
  const usage = process.cpuUsage(before);
  const seconds = STEADY_STATE_MS / 1_000;
  const nodes = fleet.nodes.size;
  const totals = totalsOf(fleet);
  const perNode = (value: number) => value / nodes / seconds;
  return {
    meanBytesPerSecond: perNode(totals.bytes),
    busiestBytesPerSecond: totals.busiestBytes / seconds,
    membershipBytesPerSecond: perNode(totals.membership),
    configurationBytesPerSecond: perNode(totals.configuration),
    steeringBytesPerSecond: perNode(totals.steering),
    meanMessagesPerSecond: perNode(totals.messages),
    maximumLinks: Math.max(
      ...[...fleet.nodes.keys()].map(node => fleet.linkCount(node)),
    ),
    waitingWatches: fleet.store.watching(),
    storeReadsPerSecond: countReads(fleet) / seconds,
    processorMsPerSecond: perNode((usage.user + usage.system) / 1_000),
  };
}

function totalsOf(fleet: ControlFleet) {
  const totals = {
    bytes: 0,
    busiestBytes: 0,
    messages: 0,
    membership: 0,
    configuration: 0,
    steering: 0,
  };
  for (const counter of fleet.counters.values()) {
    totals.bytes += counter.bytes;
    totals.messages += counter.messages;
    totals.busiestBytes = Math.max(totals.busiestBytes, counter.bytes);
    totals.membership += counter.channels.membership;
    totals.configuration += counter.channels.configuration;
    totals.steering += counter.channels.steering;
  }
  return totals;
}

function measureChanges(fleet: ControlFleet, steadyBytesPerSecond: number) {
  fleet.resetCounters();
  let maximumDelayMs = 0;
  for (let change = 1; change <= CHANGE_COUNT; change += 1) {
    const publishedMs = fleet.loop.nowMs();
    fleet.publish(drainsSection(change));
    fleet.loop.runUntil(publishedMs + CHANGE_INTERVAL_MS);
    const inForceAtMs = lastInForceMs(fleet, change + 1) ?? Infinity;
    maximumDelayMs = Math.max(maximumDelayMs, inForceAtMs - publishedMs);
  }
  const seconds = (CHANGE_COUNT * CHANGE_INTERVAL_MS) / 1_000;
  const perNode = totalsOf(fleet).configuration / fleet.nodes.size;
  const {headReads, chunkReads} = fleet.store.calls;
  return {
    inForceMs: maximumDelayMs,
    bytesPerChange: Math.max(
      0,
      (perNode - steadyBytesPerSecond * seconds) / CHANGE_COUNT,
    ),
    storeReadsPerChange:
      (headReads + chunkReads) / CHANGE_COUNT + fleet.store.watching(),
  };
}

/**
 * Time at which the last node put the generation in force; undefined if some
 * node has an older one.
 */
function lastInForceMs(
  fleet: ControlFleet,
  generation: number,
): number | undefined {
  let lastMs = 0;
  for (const node of fleet.nodes.keys()) {
    const latest = fleet.latestInForce.get(node);
    if (!latest || latest.generation < (generation as Generation)) {
      return undefined;
    }
    lastMs = Math.max(lastMs, latest.atMs);
  }
  return lastMs;
}

function measureZoneLoss(fleet: ControlFleet) {
  const first = fleet.nodes.values().next().value!.vm;
  const lost: VmId[] = [];
  for (const [id, {vm}] of fleet.nodes) {
    if (vm.region === first.region && vm.zone === first.zone) {
      lost.push(id);
    }
  }
  fleet.resetCounters();
  const lostAtMs = fleet.loop.nowMs();
  fleet.kill(lost);
  let detectionMs = Infinity;
  const endMs = lostAtMs + ZONE_LOSS_OBSERVATION_MS;
  while (fleet.loop.nowMs() < endMs) {
    fleet.loop.runUntil(fleet.loop.nowMs() + 500);
    if (detectionMs === Infinity && allDetectedLoss(fleet, lost)) {
      detectionMs = fleet.loop.nowMs() - lostAtMs;
    }
  }
  const {busiestBytes} = totalsOf(fleet);
  return {
    zoneLossBytesPerSecond: busiestBytes / (ZONE_LOSS_OBSERVATION_MS / 1_000),
    zoneLossDetectionMs: detectionMs,
  };
}

function allDetectedLoss(fleet: ControlFleet, lost: readonly VmId[]): boolean {
  const lostVms = new Set(lost);
  for (const [id, node] of fleet.nodes) {
    if (lostVms.has(id)) {
      continue;
    }
    const {vms} = node.view();
    for (const vm of lost) {
      if (vms.get(vm)?.state === 'live') {
        return false;
      }
    }
  }
  return true;
}

function countReads(fleet: ControlFleet): number {
  const {watches, headReads, chunkReads, lists} = fleet.store.calls;
  return watches + headReads + chunkReads + lists;
}
