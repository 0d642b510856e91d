/** Selects the region in which a request runs. */
import {assertNever} from '../model/index.js';
import type {
  RefusalReason,
  RegionName,
  RequestMetadata,
  ServicePolicy,
  VmId,
} from '../model/index.js';
import {
  type PlannedMove,
  computeCohortPosition,
  computeFailoverFraction,
  computeFullRampMs,
  schedulePlannedMoves,
  findRegionAfterMoves,
} from '../shifts/index.js';
import type {Pool} from './pool.js';
import type {SteeringState} from './state.js';

export type PlacementDecision =
  | {
      readonly kind: 'region';
      readonly region: RegionName;
      readonly foreign: boolean;
    }
  /** Only this VM may run the request. */
  | {readonly kind: 'vm'; readonly vm: VmId; readonly region: RegionName}
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

const RETRY_AFTER_REGION_SILENT_MS = 1_000;

export function placeRequest(
  state: SteeringState,
  metadata: RequestMetadata,
  policy: ServicePolicy,
): PlacementDecision {
  const {region: own} = state.context;
  const home = findHomeRegion(state, metadata);
  if (metadata.relayedFrom) {
    return {kind: 'region', region: own, foreign: home !== own};
  }
  const plannedRegion = regionAfterPlannedMoves(state, metadata, policy, home);
  if (plannedRegion === own) {
    return {kind: 'region', region: own, foreign: home !== own};
  }
  const failover = failoverPlacement(state, metadata, policy, plannedRegion);
  switch (failover) {
    case 'stays':
      return {kind: 'region', region: plannedRegion, foreign: false};
    case 'moved':
      return {kind: 'region', region: own, foreign: true};
    case 'not-allowed':
      return {
        kind: 'refused',
        reason: 'no-healthy-target',
        retryAfterMs: RETRY_AFTER_REGION_SILENT_MS,
      };
    case 'not-yet':
      return {
        kind: 'refused',
        reason: 'shift-cap-reached',
        retryAfterMs: computeTimeUntilMovedMs(
          state,
          metadata,
          policy,
          plannedRegion,
        ),
      };
    default:
      return assertNever(failover);
  }
}

/** The caller's home region, or else the region of the VM it connected to. */
export function findHomeRegion(
  state: SteeringState,
  metadata: RequestMetadata,
): RegionName {
  const {context} = state;
  const {homeRegion} = metadata;
  if (homeRegion && context.configuration()?.regions.has(homeRegion)) {
    return homeRegion;
  }
  return metadata.relayedFrom?.region ?? context.region;
}

function getPlannedMoves(
  state: SteeringState,
  metadata: RequestMetadata,
  policy: ServicePolicy,
): readonly PlannedMove[] {
  const key = `${metadata.workspace}/${metadata.service}`;
  const known = state.plannedMoves.get(key);
  if (known) {
    return known;
  }
  const {context} = state;
  const configuration = context.configuration();
  if (!configuration) {
    return [];
  }
  const moves = schedulePlannedMoves(
    configuration,
    metadata.workspace,
    metadata.service,
    policy.shift,
    context.parameters.capUtilization,
  );
  state.plannedMoves.set(key, moves);
  return moves;
}

function regionAfterPlannedMoves(
  state: SteeringState,
  metadata: RequestMetadata,
  policy: ServicePolicy,
  home: RegionName,
): RegionName {
  const {context} = state;
  const configuration = context.configuration();
  const moves = getPlannedMoves(state, metadata, policy);
  if (!configuration || moves.length === 0) {
    return home;
  }
  const {wallMs} = context.time();
  return findRegionAfterMoves(
    configuration,
    moves,
    home,
    metadata.cohort,
    wallMs,
  );
}

/**
 * Whether a failover moves the request out of its region. `not-yet`: the region
 * is silent, but the ramp has not reached the request's cohort. `not-allowed`:
 * the region is silent, and the policy disables failover.
 */
function failoverPlacement(
  state: SteeringState,
  metadata: RequestMetadata,
  policy: ServicePolicy,
  from: RegionName,
): 'stays' | 'moved' | 'not-yet' | 'not-allowed' {
  const {context} = state;
  const silent = context.view()?.silentRegions.has(from) ?? false;
  const failover = state.failovers.get(from);
  if (!policy.shift.failover) {
    return silent ? 'not-allowed' : 'stays';
  }
  if (!failover) {
    return silent ? 'not-yet' : 'stays';
  }
  const fraction = computeFailoverFraction(
    failover,
    policy.shift,
    context.parameters.capUtilization,
    context.time().wallMs,
  );
  if (computeCohortPosition(metadata.cohort, failoverKey(from)) < fraction) {
    return 'moved';
  }
  return silent ? 'not-yet' : 'stays';
}

function failoverKey(from: RegionName): string {
  return `failover/${from}`;
}

function computeTimeUntilMovedMs(
  state: SteeringState,
  metadata: RequestMetadata,
  policy: ServicePolicy,
  from: RegionName,
): number {
  const {context} = state;
  const failover = state.failovers.get(from);
  if (!failover) {
    return RETRY_AFTER_REGION_SILENT_MS;
  }
  const place = computeCohortPosition(metadata.cohort, failoverKey(from));
  const rampMs = computeFullRampMs(
    policy.shift,
    context.parameters.capUtilization,
  );
  const movesAtMs = failover.startedAtWallMs + place * rampMs;
  return Math.max(
    RETRY_AFTER_REGION_SILENT_MS,
    movesAtMs - context.time().wallMs,
  );
}

/**
 * Maximum slots for requests from other regions. The limit grows with the time
 * since the recorded start of the shift or failover, so that a replaced VM
 * continues with the same limit.
 */
export function computeForeignSlotLimit(
  state: SteeringState,
  pool: Pool,
  metadata: RequestMetadata,
  policy: ServicePolicy,
): number {
  const {context} = state;
  const home = findHomeRegion(state, metadata);
  const {capFraction, intervalMs} = policy.shift;
  const owned = pool.slotLedger.ownedSlots();
  const {wallMs} = context.time();
  let startedMs = wallMs;
  const failover = state.failovers.get(home);
  if (failover) {
    startedMs = Math.min(startedMs, failover.startedAtWallMs);
  }
  for (const move of getPlannedMoves(state, metadata, policy)) {
    startedMs = Math.min(startedMs, move.startsAtMs);
  }
  const intervals = 1 + (wallMs - startedMs) / intervalMs;
  const limit = owned * Math.min(1, capFraction * intervals);
  return Math.max(1, Math.floor(limit));
}
