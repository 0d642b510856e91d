/**
 * Decides which fraction of a region's requests runs in other regions. A region
 * with more demand than capacity assigns ranges of the affinity key space to
 * regions with headroom, and takes them back later. The fractions of all regions
 * change at one bounded rate, so that a step in traffic does not move many keys
 * at once and a key that has moved keeps its warm cache.
 */

/** Demand and capacity of a region for one service. */
export interface RegionCapacity {
  /** Number of slots that the requests of the region's clients need. */
  readonly demand: number;
  readonly slots: number;
}

export interface RegionSharesOptions {
  /** The region whose requests are divided among the regions. */
  readonly region: string;
  /** Largest fraction of the requests that is reassigned per second. */
  readonly maximumShiftPerSecond: number;
}

export interface RegionShares {
  /**
   * @param capacities Capacity of every region for the service; the region of
   *     this VM may be missing.
   * @param objectiveMs Shortest latency objective of the service's routes;
   *     undefined if it has none.
   */
  update(
    service: string,
    capacities: ReadonlyMap<string, RegionCapacity>,
    nowMs: number,
    objectiveMs?: number,
  ): void;
  /**
   * Returns the region that runs a request.
   *
   * @param position Hash of the key in [0, 1), the same on every VM; a random
   *     number for a request without a key.
   * @param spread A second, independent hash of the key in [0, 1); selects one
   *     of the remote regions.
   */
  regionFor(service: string, position: number, spread: number): string;
  /** Fraction of the service's requests that run in this region. */
  localShare(service: string): number;
}

/**
 * Utilization up to which a region runs all of its own requests. A queue at home
 * costs requests more of their objective than the way to another region does,
 * so regions whose requests have time for the way keep less.
 */
const MINIMUM_DESIRED_UTILIZATION = 0.4;
const MAXIMUM_DESIRED_UTILIZATION = 0.6;
/** Fraction of the objective from which on the way counts in full. */
const FAR_OBJECTIVE_FRACTION = 0.1;
const REGION_ROUND_TRIP_MS = 45;

/** Fraction of the requests that run in each region; they add up to 1. */
type Distribution = ReadonlyMap<string, number>;

interface ServiceShares {
  readonly updatedAtMs: number;
  /** Moves at a bounded rate; may name regions that have no slots any more. */
  readonly planned: Distribution;
  /** The planned distribution without regions that have no slots. */
  readonly usable: Distribution;
}

export function createRegionShares(options: RegionSharesOptions): RegionShares {
  const {region: localRegion} = options;
  const sharesByService = new Map<string, ServiceShares>();

  function update(
    service: string,
    measured: ReadonlyMap<string, RegionCapacity>,
    nowMs: number,
    objectiveMs?: number,
  ): void {
    const before = sharesByService.get(service);
    const capacities = hasDemand(measured)
      ? measured
      : withAssumedDemand(measured);
    const desired = desiredDistribution(
      capacities,
      localRegion,
      desiredUtilization(objectiveMs),
    );
    const passedSeconds = before ? (nowMs - before.updatedAtMs) / 1_000 : 0;
    const maximumShift = hasDemand(measured)
      ? options.maximumShiftPerSecond * Math.min(1, passedSeconds)
      : 1;
    // A VM that has just started adopts the shares that the others have reached.
    const planned = before
      ? moveTowards(before.planned, desired, maximumShift)
      : desired;
    sharesByService.set(service, {
      updatedAtMs: nowMs,
      planned,
      usable: withoutEmptyRegions(planned, measured) ?? desired,
    });
  }

  function regionFor(
    service: string,
    position: number,
    spread: number,
  ): string {
    const local = localShare(service);
    if (position < local) {
      return localRegion;
    }
    let cumulativeShare = 0;
    let last = localRegion;
    for (const [region, fraction] of fractionsOf(service)) {
      if (region === localRegion || fraction <= 0) {
        continue;
      }
      cumulativeShare += fraction / (1 - local);
      last = region;
      if (spread < cumulativeShare) {
        return region;
      }
    }
    return last;
  }

  function localShare(service: string): number {
    return sharesByService.has(service)
      ? (fractionsOf(service).get(localRegion) ?? 0)
      : 1;
  }

  function fractionsOf(service: string): Distribution {
    return sharesByService.get(service)?.usable ?? new Map();
  }

  return {update, regionFor, localShare};
}

/** The distribution at which no region is above the utilization limit. */
function desiredDistribution(
  capacities: ReadonlyMap<string, RegionCapacity>,
  localRegion: string,
  desired: number,
): Distribution {
  const limit = utilizationLimit(capacities, desired);
  const remoteShares = remoteHeadroom(capacities, localRegion, limit);
  const local = desiredLocalShare(
    capacities.get(localRegion),
    limit,
    remoteShares.size > 0,
  );
  const fractions = new Map([[localRegion, local]]);
  for (const [region, share] of remoteShares) {
    fractions.set(region, (1 - local) * share);
  }
  return fractions;
}

/**
 * Divides the fractions of regions without slots among the others; undefined if
 * none is left.
 */
function withoutEmptyRegions(
  fractions: Distribution,
  capacities: ReadonlyMap<string, RegionCapacity>,
): Distribution | undefined {
  const left = new Map<string, number>();
  let total = 0;
  for (const [region, fraction] of fractions) {
    if ((capacities.get(region)?.slots ?? 0) > 0) {
      left.set(region, fraction);
      total += fraction;
    }
  }
  if (total <= 0) {
    return undefined;
  }
  for (const [region, fraction] of left) {
    left.set(region, fraction / total);
  }
  return left;
}

/** Moves at most `maximumShift` of the requests to another region. */
function moveTowards(
  from: Distribution,
  to: Distribution,
  maximumShift: number,
): Distribution {
  const regions = [...new Set([...from.keys(), ...to.keys()])].sort();
  let distance = 0;
  for (const region of regions) {
    const change = (to.get(region) ?? 0) - (from.get(region) ?? 0);
    distance += Math.max(0, change);
  }
  const step = distance > maximumShift ? maximumShift / distance : 1;
  const fractions = new Map<string, number>();
  for (const region of regions) {
    const before = from.get(region) ?? 0;
    const change = (to.get(region) ?? 0) - before;
    fractions.set(region, before + change * step);
  }
  return fractions;
}

/** Utilization assumed before any request has arrived. */
const ASSUMED_UTILIZATION = 0.5;

function hasDemand(capacities: ReadonlyMap<string, RegionCapacity>): boolean {
  for (const capacity of capacities.values()) {
    if (capacity.demand > 0) {
      return true;
    }
  }
  return false;
}

/**
 * Assumes equal demand in all regions, so that regions with few slots assign a
 * part of theirs to others from the start.
 */
function withAssumedDemand(
  capacities: ReadonlyMap<string, RegionCapacity>,
): ReadonlyMap<string, RegionCapacity> {
  let slots = 0;
  for (const capacity of capacities.values()) {
    slots += capacity.slots;
  }
  const demand = (slots * ASSUMED_UTILIZATION) / Math.max(1, capacities.size);
  const assumed = new Map<string, RegionCapacity>();
  for (const [region, capacity] of capacities) {
    assumed.set(region, {demand, slots: capacity.slots});
  }
  return assumed;
}

function desiredUtilization(objectiveMs: number | undefined): number {
  if (objectiveMs === undefined) {
    return MAXIMUM_DESIRED_UTILIZATION;
  }
  const wayFraction = REGION_ROUND_TRIP_MS / objectiveMs;
  const range = MAXIMUM_DESIRED_UTILIZATION - MINIMUM_DESIRED_UTILIZATION;
  return (
    MINIMUM_DESIRED_UTILIZATION +
    range * Math.min(1, wayFraction / FAR_OBJECTIVE_FRACTION)
  );
}

/** The desired utilization, or the overall one if that is higher. */
function utilizationLimit(
  capacities: ReadonlyMap<string, RegionCapacity>,
  desired: number,
): number {
  let demand = 0;
  let slots = 0;
  for (const capacity of capacities.values()) {
    demand += capacity.demand;
    slots += capacity.slots;
  }
  if (slots === 0) {
    return desired;
  }
  return Math.max(desired, demand / slots);
}

function remoteHeadroom(
  capacities: ReadonlyMap<string, RegionCapacity>,
  region: string,
  limit: number,
): ReadonlyMap<string, number> {
  const headroom = new Map<string, number>();
  let total = 0;
  for (const [name, capacity] of [...capacities].sort(compareByName)) {
    const left = capacity.slots * limit - capacity.demand;
    if (name !== region && left > 0) {
      headroom.set(name, left);
      total += left;
    }
  }
  for (const [name, left] of headroom) {
    headroom.set(name, left / total);
  }
  return headroom;
}

function desiredLocalShare(
  local: RegionCapacity | undefined,
  limit: number,
  hasRemoteHeadroom: boolean,
): number {
  if (!hasRemoteHeadroom) {
    return 1;
  }
  if (!local || local.slots === 0) {
    return 0;
  }
  if (local.demand <= 0) {
    return 1;
  }
  return Math.min(1, (local.slots * limit) / local.demand);
}

function compareByName(
  [one]: readonly [string, unknown],
  [other]: readonly [string, unknown],
): number {
  return one < other ? -1 : 1;
}
