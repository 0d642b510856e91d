/** Checks a planned drain against the remaining headroom and the shift caps. */
import type {
  Configuration,
  Drain,
  RegionName,
  ServiceName,
} from '../model/index.js';
import {isDrainOpen} from './drain_progress.js';
import {
  describeScope,
  scopeCoversTarget,
  findScopeProblem,
} from './drain_scope.js';

/** Maximum fraction of the slots that current requests may use, 0 to 1. */
export const DRAIN_UTILIZATION_LIMIT = 0.8;

/** Load of one service, as reported by the VMs of a region. */
export interface ServiceLoad {
  readonly service: ServiceName;
  readonly region: RegionName;
  /** Requests in flight plus requests in the queue. */
  readonly inUse: number;
}

/** One service in one region, before and during the drain. */
export interface DrainCheckRow {
  readonly service: ServiceName;
  readonly region: RegionName;
  readonly slotsNow: number;
  readonly slotsLeft: number;
  readonly inUse: number;
  /** Requests that the remaining slots, used up to the limit, cannot take. */
  readonly overflow: number;
}

/** Result of the check; each refusal includes the figures behind it. */
export type DrainCheck =
  | {readonly kind: 'fits'; readonly rows: readonly DrainCheckRow[]}
  | {
      readonly kind: 'too-large';
      readonly rows: readonly DrainCheckRow[];
      readonly refusals: readonly string[];
    }
  /** The scope refers to something that the configuration does not define. */
  | {readonly kind: 'unknown-scope'; readonly problem: string}
  | {readonly kind: 'already-drained'; readonly by: Drain['id']};

/**
 * @param load Current load. A service and region without an entry counts as
 *     unused, so make sure that all VMs reported.
 * @param wallMs Unix time in milliseconds.
 */
export function checkDrain(
  configuration: Configuration,
  drain: Drain,
  load: readonly ServiceLoad[],
  wallMs: number,
): DrainCheck {
  const problem = findScopeProblem(drain.scope, configuration);
  if (problem) {
    return {kind: 'unknown-scope', problem};
  }
  const others = configuration.drains.filter(
    other => isDrainOpen(other, wallMs) && overlaps(other, drain),
  );
  const scope = describeScope(drain.scope);
  const same = others.find(other => describeScope(other.scope) === scope);
  if (same) {
    return {kind: 'already-drained', by: same.id};
  }
  const rows: DrainCheckRow[] = [];
  const refusals: string[] = [];
  for (const service of configuration.services.keys()) {
    const serviceRows: DrainCheckRow[] = [];
    for (const region of configuration.regions.keys()) {
      const inUse = sumCurrentRequests(load, service, region);
      serviceRows.push(
        checkPool(configuration, drain, others, {service, region, inUse}),
      );
    }
    if (!serviceRows.some(row => row.slotsLeft < row.slotsNow)) {
      continue;
    }
    rows.push(...serviceRows);
    refusals.push(...headroomRefusals(serviceRows));
    refusals.push(...rateRefusals(configuration, drain, serviceRows));
  }
  return refusals.length > 0
    ? {kind: 'too-large', rows, refusals}
    : {kind: 'fits', rows};
}

function checkPool(
  configuration: Configuration,
  drain: Drain,
  others: readonly Drain[],
  pool: {service: ServiceName; region: RegionName; inUse: number},
): DrainCheckRow {
  const slotsNow = remainingSlots(configuration, others, pool);
  const slotsLeft = remainingSlots(configuration, [...others, drain], pool);
  const usable = Math.floor(slotsLeft * DRAIN_UTILIZATION_LIMIT);
  const overflow = Math.max(0, pool.inUse - usable);
  return {...pool, slotsNow, slotsLeft, overflow};
}

/** Slots of a service in a region that remain under the drains. */
function remainingSlots(
  configuration: Configuration,
  drains: readonly Drain[],
  pool: {service: ServiceName; region: RegionName},
): number {
  const service = configuration.services.get(pool.service)!;
  let slots = 0;
  for (const target of service.targets) {
    if (target.region !== pool.region) {
      continue;
    }
    const drained = drains.some(drain =>
      scopeCoversTarget(drain.scope, service.name, target),
    );
    slots += drained ? 0 : target.slots;
  }
  return Math.floor(
    slots * activeVmFraction(configuration, drains, pool.region),
  );
}

/**
 * Fraction of the region's VMs that are not drained. Slots are divided among
 * the VMs, and the share of a drained VM is not used.
 */
function activeVmFraction(
  configuration: Configuration,
  drains: readonly Drain[],
  region: RegionName,
): number {
  let total = 0;
  let active = 0;
  for (const vm of configuration.entryVms.values()) {
    if (vm.region !== region) {
      continue;
    }
    total += 1;
    const isDrained = drains.some(
      ({scope}) => scope.kind === 'entry-vm' && scope.vm === vm.id,
    );
    active += isDrained ? 0 : 1;
  }
  return total === 0 ? 0 : active / total;
}

function headroomRefusals(rows: readonly DrainCheckRow[]): readonly string[] {
  let overflow = 0;
  let free = 0;
  const shortages: string[] = [];
  for (const row of rows) {
    const usable = Math.floor(row.slotsLeft * DRAIN_UTILIZATION_LIMIT);
    free += Math.max(0, usable - row.inUse);
    overflow += row.overflow;
    if (row.overflow > 0) {
      shortages.push(
        `${row.region} keeps ${row.slotsLeft} of ${row.slotsNow} slots for ${row.inUse} requests`,
      );
    }
  }
  if (!rows.some(row => row.slotsLeft > 0)) {
    return [`${rows[0]!.service}: no slot would be left in any region`];
  }
  if (overflow <= free) {
    return [];
  }
  return [
    `${rows[0]!.service}: ${shortages.join('; ')}; ${overflow} requests would have to move, the other regions have room for ${free} (limit ${DRAIN_UTILIZATION_LIMIT * 100} % of the slots)`,
  ];
}

/**
 * Requests must not leave a region faster than any workspace's shift cap
 * allows. A region drain is exempt, because the VMs slow it down to the cap.
 */
function rateRefusals(
  configuration: Configuration,
  drain: Drain,
  rows: readonly DrainCheckRow[],
): readonly string[] {
  if (drain.scope.kind === 'region') {
    return [];
  }
  const refusals: string[] = [];
  for (const row of rows) {
    const movedFraction = row.slotsNow === 0 ? 0 : row.overflow / row.slotsNow;
    if (movedFraction === 0) {
      continue;
    }
    for (const services of configuration.workspaces.values()) {
      const shift = services.get(row.service)?.policy.shift;
      if (!shift) {
        continue;
      }
      const minimumRampMs = Math.ceil(
        (movedFraction / shift.capFraction) * shift.intervalMs,
      );
      if (drain.rampMs < minimumRampMs) {
        refusals.push(
          `${row.service}: ${Math.round(movedFraction * 100)} % of ${row.region} would leave the region within ${drain.rampMs} ms; the cap of ${shift.capFraction * 100} % per ${shift.intervalMs} ms needs a ramp of at least ${minimumRampMs} ms`,
        );
      }
    }
  }
  return refusals;
}

/** Requests in flight and queued, summed over the VMs that reported. */
export function sumCurrentRequests(
  load: readonly ServiceLoad[],
  service: ServiceName,
  region: RegionName,
): number {
  let inUse = 0;
  for (const entry of load) {
    if (entry.service === service && entry.region === region) {
      inUse += entry.inUse;
    }
  }
  return inUse;
}

function overlaps(one: Drain, other: Drain): boolean {
  const oneEnd = one.endAtMs ?? Number.POSITIVE_INFINITY;
  const otherEnd = other.endAtMs ?? Number.POSITIVE_INFINITY;
  return one.startAtMs < otherEnd && other.startAtMs < oneEnd;
}
