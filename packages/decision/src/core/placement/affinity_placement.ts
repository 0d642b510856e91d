/**
 * Chooses the target of a request: the one with the least expected cost, in
 * milliseconds. Rendezvous hashing of the affinity key ranks the targets of a
 * scope alike at every VM, so that a key stays warm at few targets; load,
 * distance and health move it away only when that answers sooner.
 */
import {hash32} from '../hashing/index.js';
import type {
  RegisteredTarget,
  TargetRegistry,
} from '../fleet_targets/index.js';
import type {ServiceTimes} from './service_times.js';
import type {TargetLoad} from './target_load.js';
import type {WarmKeys} from './warm_keys.js';

export interface PlacementRequest {
  readonly route: string;
  readonly service: string;
  readonly latencyObjectiveMs: number;
  /** Absent where the route is not sticky or the client sent no key. */
  readonly affinityKey?: string;
  readonly homeRegions: readonly string[];
  /** Lives that have had this request. */
  readonly excluded: ReadonlySet<string>;
}

export interface Placement {
  readonly target: RegisteredTarget;
  /** Expected time until the answer. */
  readonly expectedMs: number;
  /** Of that, the wait for a slot. */
  readonly waitMs: number;
  /** The key was expected to be warm at the target. */
  readonly warm: boolean;
}

export interface PlacementParameters {
  /** Round trip to a target of the same availability zone. */
  readonly sameZoneMs: number;
  /** Round trip to another zone of the region. */
  readonly sameRegionMs: number;
  /** Round trip to another region. */
  readonly otherRegionMs: number;
  /** What a byte-laden answer over a zone's border is held to cost. */
  readonly zoneCostMs: number;
  /** Likewise over a region's border. */
  readonly regionCostMs: number;
  /** Weight of the slot time that a cold run takes from others. */
  readonly slotTimeWeight: number;
  /** Cost of a target's failures, times their share. */
  readonly failureCostMs: number;
}

export const DEFAULT_PLACEMENT_PARAMETERS: PlacementParameters = {
  sameZoneMs: 1,
  sameRegionMs: 4,
  otherRegionMs: 45,
  zoneCostMs: 10,
  regionCostMs: 30,
  slotTimeWeight: 1,
  failureCostMs: 1_000,
};

export interface PlacementDependencies {
  readonly zone: string;
  readonly region: string;
  readonly registry: TargetRegistry;
  readonly load: TargetLoad;
  readonly times: ServiceTimes;
  readonly warmKeys: WarmKeys;
  readonly parameters: PlacementParameters;
  /** Whether the fleet's budget for cold targets lets this VM send one. */
  coldAllowed(target: RegisteredTarget, nowMs: number): boolean;
}

export interface AffinityPlacement {
  choose(request: PlacementRequest, nowMs: number): Placement | undefined;
}

/** Keys whose ranks are kept until the registry changes. */
const MAXIMUM_CACHED_KEYS = 4_000;

export function createAffinityPlacement(
  dependencies: PlacementDependencies,
): AffinityPlacement {
  const {registry, load, times, warmKeys, parameters} = dependencies;
  const firstByKey = new Map<string, ReadonlyMap<string, number>>();
  let cachedRevision = -1;

  /** Rank by zone of the targets that a key is bound to. */
  function ranksOf(
    service: string,
    key: string,
    targets: readonly RegisteredTarget[],
  ): ReadonlyMap<string, number> {
    if (cachedRevision !== registry.revision()) {
      firstByKey.clear();
      cachedRevision = registry.revision();
    }
    const cacheKey = `${service} ${key}`;
    const cached = firstByKey.get(cacheKey);
    if (cached) {
      return cached;
    }
    const ranks = rankTargets(cacheKey, targets);
    if (firstByKey.size >= MAXIMUM_CACHED_KEYS) {
      firstByKey.clear();
    }
    firstByKey.set(cacheKey, ranks);
    return ranks;
  }

  function distance(target: RegisteredTarget): {
    readonly roundTripMs: number;
    readonly costMs: number;
  } {
    if (target.entry.zone === dependencies.zone) {
      return {roundTripMs: parameters.sameZoneMs, costMs: 0};
    }
    if (target.region === dependencies.region) {
      return {
        roundTripMs: parameters.sameRegionMs,
        costMs: parameters.zoneCostMs,
      };
    }
    return {
      roundTripMs: parameters.otherRegionMs,
      costMs: parameters.regionCostMs,
    };
  }

  function choose(
    request: PlacementRequest,
    nowMs: number,
  ): Placement | undefined {
    const targets = registry.usable(request.service);
    const {route, latencyObjectiveMs, affinityKey, homeRegions} = request;
    const warmMs = times.expectedMs(route, latencyObjectiveMs, true);
    const coldMs =
      affinityKey === undefined
        ? warmMs
        : times.expectedMs(route, latencyObjectiveMs, false);
    const ranks =
      affinityKey === undefined
        ? undefined
        : ranksOf(request.service, affinityKey, targets);
    let best: Placement | undefined;
    let bestCost = Infinity;
    for (const target of targets) {
      const {life, region, entry} = target;
      if (request.excluded.has(life)) {
        continue;
      }
      if (homeRegions.length > 0 && !homeRegions.includes(region)) {
        continue;
      }
      if (load.avoidUntilMs(life) > nowMs) {
        continue;
      }
      const isCold =
        registry.isCold(target, nowMs) || load.isReturning(life, nowMs);
      if (isCold && !dependencies.coldAllowed(target, nowMs)) {
        continue;
      }
      const rank = ranks?.get(life) ?? Infinity;
      const warm =
        affinityKey === undefined ||
        rank === 0 ||
        warmKeys.isWarm(life, request.service, affinityKey, nowMs);
      const slowness = load.slowness(life);
      const runMs = (warm ? warmMs : coldMs) * slowness;
      const occupied = load.estimate(life, nowMs);
      const queued = Math.max(0, occupied + 1 - entry.slots);
      const waitMs = (queued / entry.slots) * warmMs * slowness;
      const {roundTripMs, costMs} = distance(target);
      const expectedMs = roundTripMs + waitMs + runMs;
      const utilization = Math.min(1, occupied / entry.slots);
      const cost =
        expectedMs +
        costMs +
        (runMs - warmMs) * utilization * parameters.slotTimeWeight +
        load.failureShare(life) * parameters.failureCostMs +
        tieBreakMs(rank) +
        occupied / entry.slots;
      if (cost < bestCost) {
        bestCost = cost;
        best = {target, expectedMs, waitMs, warm};
      }
    }
    return best;
  }

  return {choose};
}

/** Rank 0 in each zone goes to the zone's first target for the key. */
function rankTargets(
  key: string,
  targets: readonly RegisteredTarget[],
): ReadonlyMap<string, number> {
  const scored = targets.map(target => ({
    life: target.life,
    zone: target.entry.zone,
    score: hash32(`${key}\n${target.life}`),
  }));
  scored.sort((one, other) => other.score - one.score);
  const seenInZone = new Map<string, number>();
  const ranks = new Map<string, number>();
  for (const {life, zone} of scored) {
    const rank = seenInZone.get(zone) ?? 0;
    seenInZone.set(zone, rank + 1);
    ranks.set(life, rank);
  }
  return ranks;
}

/** Keys that are cold everywhere go to the same targets at every VM. */
function tieBreakMs(rank: number): number {
  return Number.isFinite(rank) ? Math.min(rank, 10) : 0;
}
