/** Slots, targets and request queue of one service in this VM's region. */
import {
  type SlotDivision,
  type SlotLedger,
  type ShareGrowth,
  type SlotToken,
  createSlotLedger,
  createShareGrowth,
  divideSlots,
  targetsOfRegion,
  vmsOfRegion,
} from '../capacity/index.js';
import {type RequestQueue, createRequestQueue} from '../admission/index.js';
import type {
  Configuration,
  ServiceName,
  TargetId,
  WorkspaceName,
} from '../model/index.js';
import {
  type TargetCandidate,
  type TargetRecord,
  exclusionReason,
  chooseTarget,
  concurrencyLimit,
  createTargetRecord,
  eject,
  isEjected,
  isOutlier,
} from '../routing/index.js';
import {type LatencyWindow, createLatencyWindow} from '../retries/index.js';
import {computeTargetDrainedFraction} from '../shifts/index.js';
import type {SteeringContext} from './context.js';
import type {RequestState} from './requests.js';

export interface Pool {
  readonly service: ServiceName;
  readonly slotLedger: SlotLedger;
  readonly shareGrowth: ShareGrowth;
  readonly queue: RequestQueue;
  readonly records: Map<TargetId, TargetRecord>;
  readonly inFlightByWorkspace: Map<WorkspaceName, number>;
  /** When each workspace last requested a slot. */
  readonly lastDemandMs: Map<WorkspaceName, number>;
  readonly latencies: LatencyWindow;
  /** In-flight requests from other regions, by a shift or a failover. */
  foreignInFlight: number;
  /** Moving average of the time for which a request holds a slot. */
  serviceTimeMs: number;
  /** Longest time for which a slot may stay in use or lent. */
  longestUseMs: number;
  /** Duration of the leases that this VM grants. */
  leaseMs: number;
  /** Current division in serialized form, to detect changes. */
  divisionKey: string | undefined;
}

const INITIAL_SERVICE_TIME_MS = 20;

export function createPool(
  service: ServiceName,
  configuration: Configuration,
  context: SteeringContext,
): Pool {
  const {longestUseMs, leaseMs} = computeSlotUseBounds(
    service,
    configuration,
    context,
  );
  return {
    service,
    slotLedger: createSlotLedger(),
    shareGrowth: createShareGrowth({
      vm: context.vm,
      inForceBoundMs: context.parameters.inForceBoundMs,
      maximumSlotUseMs: longestUseMs,
    }),
    queue: createRequestQueue(),
    records: new Map(),
    inFlightByWorkspace: new Map(),
    lastDemandMs: new Map(),
    latencies: createLatencyWindow(),
    foreignInFlight: 0,
    serviceTimeMs: INITIAL_SERVICE_TIME_MS,
    longestUseMs,
    leaseMs,
    divisionKey: undefined,
  };
}

function computeSlotUseBounds(
  service: ServiceName,
  configuration: Configuration,
  context: SteeringContext,
): {readonly longestUseMs: number; readonly leaseMs: number} {
  const {leaseDeadlineMultiple, leaseMarginMs, cancellationGraceMs} =
    context.parameters;
  let longestDeadlineMs = 0;
  let defaultDeadlineMs = 0;
  for (const services of configuration.workspaces.values()) {
    const policy = services.get(service)?.policy;
    if (policy) {
      longestDeadlineMs = Math.max(longestDeadlineMs, policy.maximumDeadlineMs);
      defaultDeadlineMs = Math.max(defaultDeadlineMs, policy.defaultDeadlineMs);
    }
  }
  const leaseMs = Math.max(
    1,
    Math.ceil(defaultDeadlineMs * leaseDeadlineMultiple),
  );
  return {
    leaseMs,
    longestUseMs:
      Math.max(longestDeadlineMs, leaseMs + leaseMarginMs) +
      cancellationGraceMs,
  };
}

/**
 * Applies a new configuration's slot division and targets.
 *
 * @returns Whether any VM's share differs from the previous configuration;
 *     false for the first one.
 */
export function configurePool(
  pool: Pool,
  configuration: Configuration,
  context: SteeringContext,
): boolean {
  const {service} = pool;
  const targets = targetsOfRegion(configuration, service, context.region);
  const division = divideSlots(
    targets,
    vmsOfRegion(configuration, context.region),
    `${service}|${context.region}`,
    context.parameters.minimumSlotsPerVm,
  );
  pool.slotLedger.setOwnShare(
    pool.shareGrowth.setDivision(
      division,
      configuration.generation,
      context.time().nowMs,
    ),
  );
  const configured = new Set(targets.map(target => target.id));
  for (const target of targets) {
    const known = pool.records.get(target.id);
    pool.records.set(
      target.id,
      known ? {...known, target} : createTargetRecord(target),
    );
  }
  for (const id of [...pool.records.keys()]) {
    if (!configured.has(id)) {
      pool.records.delete(id);
    }
  }
  const before = pool.divisionKey;
  pool.divisionKey = serializeDivision(division);
  return before !== undefined && before !== pool.divisionKey;
}

/** Serializes a division; the result does not depend on the iteration order. */
function serializeDivision(division: SlotDivision): string {
  const parts: string[] = [];
  for (const [vm, share] of division) {
    for (const [target, slots] of share) {
      parts.push(`${vm}/${target}/${slots}`);
    }
  }
  return parts.sort().join(' ');
}

/** Grows this VM's share as far as is safe now, and drops expired leases. */
export function updateSlotLedger(pool: Pool, context: SteeringContext): void {
  const {nowMs} = context.time();
  const share = pool.shareGrowth.advance(context.view(), nowMs);
  if (share) {
    pool.slotLedger.setOwnShare(share);
  }
  pool.slotLedger.expire(nowMs);
}

/** Latest time until which a slot taken for this request stays in use. */
export function computeSlotUseEndMs(
  request: RequestState,
  context: SteeringContext,
): number {
  return request.metadata.deadlineMs + context.parameters.cancellationGraceMs;
}

/** Targets that can take the request now. */
export function findCandidates(
  pool: Pool,
  request: RequestState,
  context: SteeringContext,
): readonly TargetCandidate[] {
  const {nowMs} = context.time();
  const untilMs = computeSlotUseEndMs(request, context);
  const candidates: TargetCandidate[] = [];
  for (const record of pool.records.values()) {
    const id = record.target.id;
    if (request.triedTargets.has(id) || exclusionReason(record, nowMs)) {
      continue;
    }
    const inFlight = pool.slotLedger.inUseAt(id);
    const limit = computeTargetLimit(pool, record, untilMs, context);
    if (inFlight < limit && pool.slotLedger.freeAt(id, untilMs) > 0) {
      candidates.push({record, inFlight, limit});
    }
  }
  return candidates;
}

/**
 * Concurrency limit of this VM at the target, reduced by drains. Counts only
 * slots that stay usable until `untilMs`, which is monotonic.
 */
export function computeTargetLimit(
  pool: Pool,
  record: TargetRecord,
  untilMs: number,
  context: SteeringContext,
): number {
  const configuration = context.configuration();
  if (!configuration) {
    return 0;
  }
  const {target} = record;
  const drained = computeTargetDrainedFraction(
    configuration,
    pool.service,
    target,
    context.time().wallMs,
  );
  const usable = pool.slotLedger.usableAt(target.id, untilMs);
  // The epsilon keeps rounding errors from costing a slot.
  const undrained = Math.floor(usable * (1 - drained) + 1e-9);
  return concurrencyLimit(record, undrained);
}

/** Chooses a target and takes a slot at it. */
export function takeSlot(
  pool: Pool,
  request: RequestState,
  context: SteeringContext,
): {readonly record: TargetRecord; readonly token: SlotToken} | undefined {
  const chosen = chooseTarget(findCandidates(pool, request, context), {
    preference: request.policy.preference,
    zone: context.zone,
    random: context.random,
    nowMs: context.time().nowMs,
  });
  if (!chosen) {
    return undefined;
  }
  const token = pool.slotLedger.acquire(
    chosen.record.target.id,
    context.time().nowMs,
    computeSlotUseEndMs(request, context),
  );
  return token && {record: chosen.record, token};
}

/** Slots that are free now, without regard to when their leases end. */
export function countFreeSlots(pool: Pool, context: SteeringContext): number {
  const {nowMs} = context.time();
  let free = 0;
  for (const record of pool.records.values()) {
    if (exclusionReason(record, nowMs)) {
      continue;
    }
    const limit = computeTargetLimit(pool, record, nowMs, context);
    free += Math.max(0, limit - pool.slotLedger.inUseAt(record.target.id));
  }
  return free;
}

/** Slots at targets that accept requests, including slots in use. */
export function countUsableSlots(pool: Pool, context: SteeringContext): number {
  const {nowMs} = context.time();
  let slots = 0;
  for (const record of pool.records.values()) {
    if (!exclusionReason(record, nowMs)) {
      slots += computeTargetLimit(pool, record, nowMs, context);
    }
  }
  return slots;
}

/** Ejects a failing target unless too many of the pool are ejected already. */
export function ejectIfOutlier(
  pool: Pool,
  record: TargetRecord,
  cause: string,
  context: SteeringContext,
): void {
  const {nowMs} = context.time();
  const {baseEjectionMs, maximumEjectedFraction} = context.parameters;
  if (!isOutlier(record) || isEjected(record, nowMs)) {
    return;
  }
  let ejected = 1;
  for (const other of pool.records.values()) {
    ejected += isEjected(other, nowMs) ? 1 : 0;
  }
  if (ejected > pool.records.size * maximumEjectedFraction) {
    return;
  }
  eject(record, baseEjectionMs, nowMs);
  context.wakeAt(record.ejectedUntilMs);
  context.note({kind: 'target-ejected', target: record.target.id, cause});
}

/** One line per target that says why it did not take the request. */
export function explainTargets(
  pool: Pool,
  request: RequestState,
  context: SteeringContext,
): readonly string[] {
  const {nowMs} = context.time();
  const untilMs = computeSlotUseEndMs(request, context);
  const lines: string[] = [];
  for (const record of pool.records.values()) {
    const {id} = record.target;
    const limit = computeTargetLimit(pool, record, untilMs, context);
    const used = pool.slotLedger.inUseAt(id);
    const tried = request.triedTargets.has(id) ? 'tried before' : undefined;
    const why =
      tried ??
      exclusionReason(record, nowMs) ??
      `${used} of ${limit} slots in use`;
    lines.push(`target ${id}: ${why}`);
  }
  return lines;
}
