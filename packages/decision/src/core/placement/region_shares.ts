/**
 * Decides which fraction of a region's requests runs in other regions. A region
 * with more demand than capacity assigns ranges of the affinity key space to
 * regions with headroom, and takes them back later. The fraction changes at a
 * bounded rate, so that a step in traffic does not move many keys at once and
 * a key that has moved keeps its warm cache.
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
   */
  update(
    service: string,
    capacities: ReadonlyMap<string, RegionCapacity>,
    nowMs: number,
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

/** Utilization up to which a region runs all of its own requests. */
const DESIRED_UTILIZATION = 0.6;

interface RegionSplit {
  updatedAtMs: number;
  localShare: number;
  /**
   * How the requests that leave the region are divided among other regions. The
   * fractions add up to 1; empty if no other region has had headroom.
   */
  remoteShares: ReadonlyMap<string, number>;
  hasLocalSlots: boolean;
}

export function createRegionShares(options: RegionSharesOptions): RegionShares {
  const splits = new Map<string, RegionSplit>();

  function update(
    service: string,
    measured: ReadonlyMap<string, RegionCapacity>,
    nowMs: number,
  ): void {
    const before = splits.get(service);
    const capacities = hasDemand(measured)
      ? measured
      : withAssumedDemand(measured);
    const local = capacities.get(options.region);
    const hasLocalSlots = (local?.slots ?? 0) > 0;
    const limit = utilizationLimit(capacities);
    const remoteShares = remoteHeadroom(capacities, options.region, limit);
    const desired = desiredLocalShare(local, limit, remoteShares.size > 0);
    const passedSeconds = before ? (nowMs - before.updatedAtMs) / 1_000 : 0;
    const step = hasDemand(measured)
      ? options.maximumShiftPerSecond * Math.min(1, passedSeconds)
      : 1;
    // A VM that has just started adopts the share that the others have reached.
    const from = before?.localShare ?? desired;
    const localShare = Math.max(from - step, Math.min(from + step, desired));
    splits.set(service, {
      updatedAtMs: nowMs,
      localShare,
      remoteShares:
        remoteShares.size > 0
          ? remoteShares
          : (before?.remoteShares ?? remoteShares),
      hasLocalSlots,
    });
  }

  function regionFor(
    service: string,
    position: number,
    spread: number,
  ): string {
    const split = splits.get(service);
    if (!split || split.remoteShares.size === 0) {
      return options.region;
    }
    if (split.hasLocalSlots && position < split.localShare) {
      return options.region;
    }
    let cumulativeShare = 0;
    let last = options.region;
    for (const [region, part] of split.remoteShares) {
      cumulativeShare += part;
      last = region;
      if (spread < cumulativeShare) {
        return region;
      }
    }
    return last;
  }

  return {
    update,
    regionFor,
    localShare: service => splits.get(service)?.localShare ?? 1,
  };
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

/** `DESIRED_UTILIZATION`, or the overall utilization if that is higher. */
function utilizationLimit(
  capacities: ReadonlyMap<string, RegionCapacity>,
): number {
  let demand = 0;
  let slots = 0;
  for (const capacity of capacities.values()) {
    demand += capacity.demand;
    slots += capacity.slots;
  }
  if (slots === 0) {
    return DESIRED_UTILIZATION;
  }
  return Math.max(DESIRED_UTILIZATION, demand / slots);
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
