/**
 * Chooses the target with the lowest expected cost, in milliseconds, for a
 * request. Rendezvous hashing of the affinity key ranks the targets of a region
 * or zone identically on every VM, so each key is cached at few targets. Load,
 * distance and health override the ranking only when another target is
 * expected to cost less.
 */
import {hash32} from '../hashing/index.js';
import type {RegisteredTarget, TargetRegistry} from '../fleet_targets/index.js';
import type {RandomSource} from '../model/index.js';
import {type KeyHome, createKeyHomes} from './key_home.js';
import type {RegionShares} from './region_shares.js';
import type {StatedAvailability} from '../target_availability/index.js';
import type {ServiceTimes} from './service_times.js';
import type {TargetLoad} from './target_load.js';
import {type RankedTarget, createTargetShortlist} from './target_shortlist.js';
import type {WarmKeys} from './warm_keys.js';

export interface PlacementRequest {
  readonly route: string;
  readonly service: string;
  readonly latencyObjectiveMs: number;
  /** Absent if the route is not sticky or the client sent no key. */
  readonly affinityKey?: string;
  /** The only regions that may run the request; empty if any region may. */
  readonly homeRegions: readonly string[];
  /** Whether the route's kind tells that its responses are large. */
  readonly isDownload: boolean;
  /** Target incarnations that this request was already sent to. */
  readonly excludedIncarnations: ReadonlySet<string>;
}

export interface Placement {
  readonly target: RegisteredTarget;
  /** Expected time until the response, including `waitMs` and `roundTripMs`. */
  readonly expectedMs: number;
  /** As `expectedMs`, if the target turns out not to have the key cached. */
  readonly expectedMissMs: number;
  /** Expected wait for a slot, including `delayMs`. */
  readonly waitMs: number;
  /** Average time by which recent responses took longer than expected. */
  readonly delayMs: number;
  /** Network time to the target and back. */
  readonly roundTripMs: number;
  /** Whether the target is expected to have the affinity key in its cache. */
  readonly warm: boolean;
  /** Requests that are estimated to be at the target. */
  readonly inFlight: number;
}

export interface PlacementParameters {
  /** Round trip to a target in the same availability zone. */
  readonly sameZoneRoundTripMs: number;
  /** Round trip to another zone of the region. */
  readonly sameRegionRoundTripMs: number;
  /** Round trip to another region. */
  readonly otherRegionRoundTripMs: number;
  /** Cost assigned to each kilobyte sent between zones of a region. */
  readonly zoneCostMsPerKilobyte: number;
  /** Cost assigned to each kilobyte sent between regions. */
  readonly regionCostMsPerKilobyte: number;
  /** Bytes that arrive per round trip; a longer response takes several. */
  readonly windowBytes: number;
  /**
   * Weight of the extra time for which a cache miss occupies a slot that other
   * requests need.
   */
  readonly slotTimeWeight: number;
  /** Cost of a failed request; multiplied by the target's failure rate. */
  readonly failureCostMs: number;
  /** Cost of a target that other VMs report as leaving. */
  readonly discouragedCostMs: number;
}

export const DEFAULT_PLACEMENT_PARAMETERS: PlacementParameters = {
  sameZoneRoundTripMs: 1,
  sameRegionRoundTripMs: 4,
  otherRegionRoundTripMs: 45,
  zoneCostMsPerKilobyte: 3,
  regionCostMsPerKilobyte: 1.5,
  windowBytes: 65_536,
  slotTimeWeight: 1,
  failureCostMs: 1_000,
  discouragedCostMs: 500,
};

export interface PlacementDependencies {
  readonly zone: string;
  readonly region: string;
  readonly registry: TargetRegistry;
  readonly targetLoad: TargetLoad;
  readonly serviceTimes: ServiceTimes;
  readonly warmKeys: WarmKeys;
  readonly parameters: PlacementParameters;
  readonly regionShares: RegionShares;
  readonly random: RandomSource;
  /** Takes one request from the spillover budget; false if it is used up. */
  tryTakeSpillover(nowMs: number): boolean;
  /**
   * Requests assumed per slot of a target whose load is not known; 0 where VMs
   * hear of their targets often.
   */
  assumedRequestsPerSlot(service: string, nowMs: number): number;
  /** Whether the cold-start limit lets this VM send the target a request. */
  coldStartAllows(target: RegisteredTarget, nowMs: number): boolean;
  /** Whether the rate limit that the target states, if any, lets it. */
  rateLimitAllows(target: RegisteredTarget, nowMs: number): boolean;
  /** What targets say of themselves. */
  readonly statedAvailability: Pick<
    StatedAvailability,
    'allows' | 'availability'
  >;
}

export interface AffinityPlacement {
  /** Returns undefined if no target may take the request. */
  choose(request: PlacementRequest, nowMs: number): Placement | undefined;
}

/** Expected values of a request, before the target is chosen. */
interface Expectations {
  readonly cacheHitMs: number;
  readonly cacheMissMs: number;
  readonly responseBytes: number;
}

/** What is the same for all candidates of a request. */
interface PlacementGoal {
  readonly request: PlacementRequest;
  readonly assignedRegion: string;
  /** Where targets remember the request's affinity key. */
  readonly keyHome: KeyHome;
  readonly expected: Expectations;
}

interface ScoredPlacement {
  readonly cost: number;
  readonly placement: Placement;
}

/** Targets compared for a request without an affinity key. */
const MAXIMUM_SAMPLED_TARGETS = 24;
/** Upper bound of the tie-break; small enough not to outweigh real costs. */
const MAXIMUM_TIE_BREAK_MS = 10;
const UINT32_RANGE = 2 ** 32;
const BYTES_PER_KILOBYTE = 1_024;

interface Distance {
  readonly roundTripMs: number;
  readonly costMs: number;
}

export function createAffinityPlacement(
  dependencies: PlacementDependencies,
): AffinityPlacement {
  const {
    registry,
    targetLoad,
    serviceTimes,
    warmKeys,
    parameters,
    statedAvailability,
  } = dependencies;
  const shortlists = {
    region: createTargetShortlist('region'),
    zone: createTargetShortlist('zone'),
  };
  const keyHomes = createKeyHomes(dependencies);

  /** Round-trip time to a target and cost of the traffic. */
  function distance(target: RegisteredTarget, responseBytes: number): Distance {
    if (target.entry.zone === dependencies.zone) {
      return {roundTripMs: parameters.sameZoneRoundTripMs, costMs: 0};
    }
    const kilobytes = responseBytes / BYTES_PER_KILOBYTE;
    const roundTrips = 1 + Math.floor(responseBytes / parameters.windowBytes);
    if (target.region === dependencies.region) {
      return {
        roundTripMs: parameters.sameRegionRoundTripMs * roundTrips,
        costMs: parameters.zoneCostMsPerKilobyte * kilobytes,
      };
    }
    return {
      roundTripMs: parameters.otherRegionRoundTripMs * roundTrips,
      costMs: parameters.regionCostMsPerKilobyte * kilobytes,
    };
  }

  /** Returns the region that the request's key is assigned to. */
  function assignRegion(request: PlacementRequest): string {
    const {service, affinityKey} = request;
    if (affinityKey === undefined) {
      const position = dependencies.random.next();
      return dependencies.regionShares.regionFor(service, position, position);
    }
    const key = `${service} ${affinityKey}`;
    return dependencies.regionShares.regionFor(
      service,
      hash32(`region ${key}`) / UINT32_RANGE,
      hash32(`away ${key}`) / UINT32_RANGE,
    );
  }

  function choose(
    request: PlacementRequest,
    nowMs: number,
  ): Placement | undefined {
    const {service, affinityKey} = request;
    const targets = registry.usable(service);
    const assignedRegion = assignRegion(request);
    const goal: PlacementGoal = {
      request,
      assignedRegion,
      keyHome: keyHomes.homeOf(
        {
          service,
          assignedRegion,
          responseBytes: serviceTimes.responseBytes(request.route),
          isDownload: request.isDownload,
        },
        targets,
      ),
      expected: expectationsOf(request, nowMs),
    };
    if (affinityKey === undefined) {
      return chooseAmong(sampleTargets(targets), goal, nowMs);
    }
    const shortlist = shortlists[goal.keyHome.kind];
    return (
      chooseAmong(
        shortlist.candidates(service, targets, affinityKey),
        goal,
        nowMs,
      ) ?? chooseAmong(targets.map(unranked), goal, nowMs)
    );
  }

  /** Evenly spaced targets, starting from a random one. */
  function sampleTargets(
    targets: readonly RegisteredTarget[],
  ): readonly RankedTarget[] {
    if (targets.length <= MAXIMUM_SAMPLED_TARGETS) {
      return targets.map(unranked);
    }
    const sample: RankedTarget[] = [];
    const first = Math.floor(dependencies.random.next() * targets.length);
    const stride = Math.floor(targets.length / MAXIMUM_SAMPLED_TARGETS);
    for (let index = 0; index < MAXIMUM_SAMPLED_TARGETS; index += 1) {
      const target = targets[(first + index * stride) % targets.length];
      if (target) {
        sample.push(unranked(target));
      }
    }
    return sample;
  }

  function chooseAmong(
    candidates: readonly RankedTarget[],
    goal: PlacementGoal,
    nowMs: number,
  ): Placement | undefined {
    const {request, assignedRegion} = goal;
    let bestInAssigned: ScoredPlacement | undefined;
    let best: ScoredPlacement | undefined;
    for (const candidate of candidates) {
      if (!isEligible(candidate.target, request, nowMs)) {
        continue;
      }
      const scored = score(candidate, goal, nowMs);
      if (!best || scored.cost < best.cost) {
        best = scored;
      }
      if (candidate.target.region !== assignedRegion) {
        continue;
      }
      if (!bestInAssigned || scored.cost < bestInAssigned.cost) {
        bestInAssigned = scored;
      }
    }
    if (!best || best.placement.target.region === assignedRegion) {
      return best?.placement;
    }
    if (bestInAssigned && !dependencies.tryTakeSpillover(nowMs)) {
      return bestInAssigned.placement;
    }
    return best.placement;
  }

  /** Whether the target may receive the request at all. */
  function isEligible(
    target: RegisteredTarget,
    request: PlacementRequest,
    nowMs: number,
  ): boolean {
    const {incarnation, region} = target;
    const {homeRegions} = request;
    if (
      request.excludedIncarnations.has(incarnation) ||
      targetLoad.backoffUntilMs(incarnation) > nowMs ||
      !statedAvailability.allows(incarnation, nowMs)
    ) {
      return false;
    }
    if (homeRegions.length > 0 && !homeRegions.includes(region)) {
      return false;
    }
    const isCold =
      registry.isCold(target, nowMs) ||
      targetLoad.isRecovering(incarnation, nowMs);
    if (isCold && !dependencies.coldStartAllows(target, nowMs)) {
      return false;
    }
    return dependencies.rateLimitAllows(target, nowMs);
  }

  function expectationsOf(
    request: PlacementRequest,
    nowMs: number,
  ): Expectations {
    const {route, latencyObjectiveMs, affinityKey} = request;
    const cacheHitMs = serviceTimes.expectedMs(
      route,
      latencyObjectiveMs,
      true,
      nowMs,
    );
    return {
      cacheHitMs,
      cacheMissMs:
        affinityKey === undefined
          ? cacheHitMs
          : serviceTimes.expectedMs(route, latencyObjectiveMs, false, nowMs),
      responseBytes: serviceTimes.responseBytes(route),
    };
  }

  function estimatedInFlight(
    {incarnation, entry}: RegisteredTarget,
    nowMs: number,
  ): number {
    const estimated = targetLoad.estimatedInFlight(incarnation, nowMs);
    if (targetLoad.isReported(incarnation, nowMs)) {
      return estimated;
    }
    const perSlot = dependencies.assumedRequestsPerSlot(entry.service, nowMs);
    return Math.max(estimated, perSlot * entry.slots);
  }

  function score(
    {target, rank}: RankedTarget,
    {request, keyHome, expected}: PlacementGoal,
    nowMs: number,
  ): ScoredPlacement {
    const {incarnation, entry} = target;
    const {service, affinityKey} = request;
    const {cacheHitMs, cacheMissMs, responseBytes} = expected;
    const warm =
      affinityKey === undefined ||
      (rank === 0 && isWithin(target, keyHome)) ||
      warmKeys.isWarm(incarnation, service, affinityKey, nowMs);
    const slowdown =
      targetLoad.slowdown(incarnation, nowMs) *
      targetLoad.momentarySlowdown(incarnation, nowMs);
    const runMs = (warm ? cacheHitMs : cacheMissMs) * slowdown;
    const inFlight = estimatedInFlight(target, nowMs);
    const queued = Math.max(0, inFlight + 1 - entry.slots);
    const delayMs = targetLoad.delayMs(incarnation, nowMs);
    const waitMs = (queued / entry.slots) * cacheHitMs * slowdown + delayMs;
    const {roundTripMs, costMs} = distance(target, responseBytes);
    const expectedMs = roundTripMs + waitMs + runMs;
    const expectedMissMs = roundTripMs + waitMs + cacheMissMs * slowdown;
    const utilization = Math.min(1, inFlight / entry.slots);
    const isDiscouraged =
      statedAvailability.availability(incarnation, nowMs) === 'discouraged';
    const cacheMissPenaltyMs = runMs - cacheHitMs * slowdown;
    const cost =
      expectedMs +
      costMs +
      cacheMissPenaltyMs * utilization * parameters.slotTimeWeight +
      targetLoad.failureRate(incarnation, nowMs) * parameters.failureCostMs +
      (isDiscouraged ? parameters.discouragedCostMs : 0) +
      tieBreakMs(rank) +
      inFlight / entry.slots;
    return {
      cost,
      placement: {
        target,
        expectedMs,
        expectedMissMs,
        waitMs,
        delayMs,
        roundTripMs,
        warm,
        inFlight,
      },
    };
  }

  return {choose};
}

function isWithin(target: RegisteredTarget, keyHome: KeyHome): boolean {
  switch (keyHome.kind) {
    case 'region':
      return target.region === keyHome.region;
    case 'zone':
      return target.entry.zone === keyHome.zone;
  }
}

function unranked(target: RegisteredTarget): RankedTarget {
  return {target, rank: Infinity};
}

/** Makes all VMs choose the same target for a key that no target has cached. */
function tieBreakMs(rank: number): number {
  return Number.isFinite(rank) ? Math.min(rank, MAXIMUM_TIE_BREAK_MS) : 0;
}
