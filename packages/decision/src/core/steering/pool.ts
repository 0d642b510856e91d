/** One service's slots in this VM's region: holdings, targets and queue. */
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
import {targetDrainedFraction} from '../shifts/index.js';
import type {SteeringContext} from './context.js';
import type {RequestState} from './requests.js';

export interface Pool {
  readonly service: ServiceName;
  readonly holdings: SlotLedger;
  readonly growth: ShareGrowth;
  readonly queue: RequestQueue;
  readonly records: Map<TargetId, TargetRecord>;
  readonly inFlightByWorkspace: Map<WorkspaceName, number>;
  /** When each workspace last wanted a slot. */
  readonly wantedAtMs: Map<WorkspaceName, number>;
  readonly latencies: LatencyWindow;
  foreignInFlight: number;
  /** Smoothed time for which a request holds a slot. */
  serviceTimeMs: number;
  longestUseMs: number;
  leaseMs: number;
  /** The division in force as a text, to notice that it changed. */
  divisionText: string | undefined;
}

const FIRST_SERVICE_TIME_MS = 20;

export function createPool(
  service: ServiceName,
  configuration: Configuration,
  context: SteeringContext,
): Pool {
  const {longestUseMs, leaseMs} = longestUse(service, configuration, context);
  return {
    service,
    holdings: createSlotLedger(),
    growth: createShareGrowth({
      vm: context.vm,
      inForceBoundMs: context.parameters.inForceBoundMs,
      maximumUseMs: longestUseMs,
    }),
    queue: createRequestQueue(),
    records: new Map(),
    inFlightByWorkspace: new Map(),
    wantedAtMs: new Map(),
    latencies: createLatencyWindow(),
    foreignInFlight: 0,
    serviceTimeMs: FIRST_SERVICE_TIME_MS,
    longestUseMs,
    leaseMs,
    divisionText: undefined,
  };
}

/** How long a slot that was taken or lent may stay out of sight. */
function longestUse(
  service: ServiceName,
  configuration: Configuration,
  context: SteeringContext,
): {readonly longestUseMs: number; readonly leaseMs: number} {
  const {leaseDeadlines, leaseMarginMs, cancellationGraceMs} =
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
  const leaseMs = Math.max(1, Math.ceil(defaultDeadlineMs * leaseDeadlines));
  return {
    leaseMs,
    longestUseMs:
      Math.max(longestDeadlineMs, leaseMs + leaseMarginMs) +
      cancellationGraceMs,
  };
}

/**
 * Takes a new configuration's division and targets.
 *
 * @returns Whether some VM's share differs from that of the configuration
 *     before; false for the first one.
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
    context.parameters.minimumSlotsPerHolder,
  );
  pool.holdings.setOwnShare(
    pool.growth.setDivision(
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
  const before = pool.divisionText;
  pool.divisionText = describeDivision(division);
  return before !== undefined && before !== pool.divisionText;
}

/** Equal for equal divisions, in whatever order their VMs stand. */
function describeDivision(division: SlotDivision): string {
  const parts: string[] = [];
  for (const [vm, share] of division) {
    for (const [target, slots] of share) {
      parts.push(`${vm}/${target}/${slots}`);
    }
  }
  return parts.sort().join(' ');
}

/** Lets the share grow where that has become safe. */
export function advancePool(pool: Pool, context: SteeringContext): void {
  const {nowMs} = context.time();
  const share = pool.growth.advance(context.view(), nowMs);
  if (share) {
    pool.holdings.setOwnShare(share);
  }
  pool.holdings.expire(nowMs);
}

/** When a slot taken for this request is surely free again. */
export function slotUseEnd(
  request: RequestState,
  context: SteeringContext,
): number {
  return request.facts.deadlineMs + context.parameters.cancellationGraceMs;
}

/** Targets that could take the request now. */
export function candidatesOf(
  pool: Pool,
  request: RequestState,
  context: SteeringContext,
): readonly TargetCandidate[] {
  const {nowMs} = context.time();
  const untilMs = slotUseEnd(request, context);
  const candidates: TargetCandidate[] = [];
  for (const record of pool.records.values()) {
    const id = record.target.id;
    if (request.triedTargets.has(id) || exclusionReason(record, nowMs)) {
      continue;
    }
    const inFlight = pool.holdings.inUseAt(id);
    const limit = targetLimit(pool, record, untilMs, context);
    if (inFlight < limit && pool.holdings.freeAt(id, untilMs) > 0) {
      candidates.push({record, inFlight, limit});
    }
  }
  return candidates;
}

/** Requests that this VM may have at the target, drains counted. */
export function targetLimit(
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
  const drained = targetDrainedFraction(
    configuration,
    pool.service,
    target,
    context.time().wallMs,
  );
  const usable = pool.holdings.usableAt(target.id, untilMs);
  const left = Math.floor(usable * (1 - drained) + 1e-9);
  return concurrencyLimit(record, left);
}

/** Chooses a target and takes a slot at it. */
export function takeSlot(
  pool: Pool,
  request: RequestState,
  context: SteeringContext,
): {readonly record: TargetRecord; readonly token: SlotToken} | undefined {
  const chosen = chooseTarget(candidatesOf(pool, request, context), {
    preference: request.policy.preference,
    zone: context.zone,
    random: context.random,
  });
  if (!chosen) {
    return undefined;
  }
  const token = pool.holdings.acquire(
    chosen.record.target.id,
    context.time().nowMs,
    slotUseEnd(request, context),
  );
  return token && {record: chosen.record, token};
}

/** Slots that could be taken at once by a request with the usual deadline. */
export function freeSlots(pool: Pool, context: SteeringContext): number {
  const {nowMs} = context.time();
  let free = 0;
  for (const record of pool.records.values()) {
    if (exclusionReason(record, nowMs)) {
      continue;
    }
    const limit = targetLimit(pool, record, nowMs, context);
    free += Math.max(0, limit - pool.holdings.inUseAt(record.target.id));
  }
  return free;
}

/** Slots at targets that take work, used ones included. */
export function workingSlots(pool: Pool, context: SteeringContext): number {
  const {nowMs} = context.time();
  let slots = 0;
  for (const record of pool.records.values()) {
    if (!exclusionReason(record, nowMs)) {
      slots += targetLimit(pool, record, nowMs, context);
    }
  }
  return slots;
}

/** Passes a failing target over for a while, unless too many are already. */
export function ejectIfOutlier(
  pool: Pool,
  record: TargetRecord,
  cause: string,
  context: SteeringContext,
): void {
  const {nowMs} = context.time();
  const {ejectionMs, maximumEjectedFraction} = context.parameters;
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
  eject(record, ejectionMs, nowMs);
  context.wakeAt(record.ejectedUntilMs);
  context.note({kind: 'target-ejected', target: record.target.id, cause});
}

/** Why each target was passed over, for explanations. */
export function explainTargets(
  pool: Pool,
  request: RequestState,
  context: SteeringContext,
): readonly string[] {
  const {nowMs} = context.time();
  const untilMs = slotUseEnd(request, context);
  const lines: string[] = [];
  for (const record of pool.records.values()) {
    const {id} = record.target;
    const limit = targetLimit(pool, record, untilMs, context);
    const used = pool.holdings.inUseAt(id);
    const tried = request.triedTargets.has(id) ? 'tried before' : undefined;
    const why =
      tried ?? exclusionReason(record, nowMs) ?? `${used} of ${limit} in use`;
    lines.push(`target ${id}: ${why}`);
  }
  return lines;
}
