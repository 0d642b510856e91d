/**
 * Chooses the target of a request: the one with the least expected cost, in
 * milliseconds. Rendezvous hashing of the affinity key ranks the targets of a
 * scope alike at every VM, so that a key stays warm at few targets; load,
 * distance and health move it away only when that answers sooner.
 */
import {hash32} from '../hashing/index.js';
import type {RegisteredTarget, TargetRegistry} from '../fleet_targets/index.js';
import type {RandomSource} from '../model/index.js';
import type {RegionShares} from './region_shares.js';
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
  /** Of that, what answers of late took longer than expected. */
  readonly delayMs: number;
  /** Of the whole, the way there and back. */
  readonly roundTripMs: number;
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
  /** What a kilobyte over the border of a zone is held to cost. */
  readonly zoneCostMsPerKilobyte: number;
  /** Likewise over the border of a region. */
  readonly regionCostMsPerKilobyte: number;
  /** Bytes that travel in one round trip; longer answers take more. */
  readonly windowBytes: number;
  /** Weight of the slot time that a cold run takes from others. */
  readonly slotTimeWeight: number;
  /** Cost of a target's failures, times their share. */
  readonly failureCostMs: number;
}

export const DEFAULT_PLACEMENT_PARAMETERS: PlacementParameters = {
  sameZoneMs: 1,
  sameRegionMs: 4,
  otherRegionMs: 45,
  zoneCostMsPerKilobyte: 3,
  regionCostMsPerKilobyte: 1.5,
  windowBytes: 65_536,
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
  readonly shares: RegionShares;
  readonly random: RandomSource;
  /** Takes one request out of what may leave its home region by load. */
  maySpillOver(nowMs: number): boolean;
  /** Whether the fleet's budget for cold targets lets this VM send one. */
  coldAllowed(target: RegisteredTarget, nowMs: number): boolean;
}

export interface AffinityPlacement {
  choose(request: PlacementRequest, nowMs: number): Placement | undefined;
}

const UINT32_RANGE = 2 ** 32;
const BYTES_PER_KILOBYTE = 1_024;

interface Distance {
  readonly roundTripMs: number;
  readonly costMs: number;
}

/** Keys whose ranks are kept until the registry changes. */
const MAXIMUM_CACHED_KEYS = 4_000;

export function createAffinityPlacement(
  dependencies: PlacementDependencies,
): AffinityPlacement {
  const {registry, load, times, warmKeys, parameters} = dependencies;
  const firstByKey = new Map<string, ReadonlyMap<string, number>>();
  let cachedRevision = -1;

  /** Rank by region of the targets that a key is bound to. */
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

  /** Time and other costs of the way to a target and back. */
  function distance(target: RegisteredTarget, answerBytes: number): Distance {
    if (target.entry.zone === dependencies.zone) {
      return {roundTripMs: parameters.sameZoneMs, costMs: 0};
    }
    const kilobytes = answerBytes / BYTES_PER_KILOBYTE;
    const roundTrips = 1 + Math.floor(answerBytes / parameters.windowBytes);
    if (target.region === dependencies.region) {
      return {
        roundTripMs: parameters.sameRegionMs * roundTrips,
        costMs: parameters.zoneCostMsPerKilobyte * kilobytes,
      };
    }
    return {
      roundTripMs: parameters.otherRegionMs * roundTrips,
      costMs: parameters.regionCostMsPerKilobyte * kilobytes,
    };
  }

  /** The region in which the request's key has its home. */
  function homeRegion(request: PlacementRequest): string {
    const {service, affinityKey} = request;
    if (affinityKey === undefined) {
      const position = dependencies.random.next();
      return dependencies.shares.regionFor(service, position, position);
    }
    const key = `${service} ${affinityKey}`;
    return dependencies.shares.regionFor(
      service,
      hash32(`region ${key}`) / UINT32_RANGE,
      hash32(`away ${key}`) / UINT32_RANGE,
    );
  }

  function choose(
    request: PlacementRequest,
    nowMs: number,
  ): Placement | undefined {
    const home = homeRegion(request);
    const atHome = chooseIn(request, home, home, nowMs);
    const anywhere = chooseIn(request, undefined, home, nowMs);
    if (!anywhere || anywhere.target.region === home) {
      return atHome ?? anywhere;
    }
    if (atHome && !dependencies.maySpillOver(nowMs)) {
      return atHome;
    }
    return anywhere;
  }

  /** @param only The region to choose in; all if absent. */
  function chooseIn(
    request: PlacementRequest,
    only: string | undefined,
    home: string,
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
    const answerBytes = times.answerBytes(route);
    let best: Placement | undefined;
    let bestCost = Infinity;
    for (const target of targets) {
      const {life, region, entry} = target;
      if (request.excluded.has(life)) {
        continue;
      }
      if (only !== undefined && region !== only) {
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
        (rank === 0 && region === home) ||
        warmKeys.isWarm(life, request.service, affinityKey, nowMs);
      const slowness = load.slowness(life);
      const runMs = (warm ? warmMs : coldMs) * slowness;
      const occupied = load.estimate(life, nowMs);
      const queued = Math.max(0, occupied + 1 - entry.slots);
      const delayMs = load.delayMs(life, nowMs);
      const waitMs = (queued / entry.slots) * warmMs * slowness + delayMs;
      const {roundTripMs, costMs} = distance(target, answerBytes);
      const expectedMs = roundTripMs + waitMs + runMs;
      const utilization = Math.min(1, occupied / entry.slots);
      const extraMs = runMs - warmMs * slowness;
      const cost =
        expectedMs +
        costMs +
        extraMs * utilization * parameters.slotTimeWeight +
        load.failureShare(life) * parameters.failureCostMs +
        tieBreakMs(rank) +
        occupied / entry.slots;
      if (cost < bestCost) {
        bestCost = cost;
        best = {target, expectedMs, waitMs, delayMs, roundTripMs, warm};
      }
    }
    return best;
  }

  return {choose};
}

/** Rank 0 in each region goes to the region's first target for the key. */
function rankTargets(
  key: string,
  targets: readonly RegisteredTarget[],
): ReadonlyMap<string, number> {
  const scored = targets.map(target => ({
    life: target.life,
    region: target.region,
    score: hash32(`${key}\n${target.life}`),
  }));
  scored.sort((one, other) => other.score - one.score);
  const seenInRegion = new Map<string, number>();
  const ranks = new Map<string, number>();
  for (const {life, region} of scored) {
    const rank = seenInRegion.get(region) ?? 0;
    seenInRegion.set(region, rank + 1);
    ranks.set(life, rank);
  }
  return ranks;
}

/** Keys that are cold everywhere go to the same targets at every VM. */
function tieBreakMs(rank: number): number {
  return Number.isFinite(rank) ? Math.min(rank, 10) : 0;
}
