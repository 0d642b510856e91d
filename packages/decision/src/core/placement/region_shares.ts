/**
 * Which part of a region's requests runs in other regions. A region that has
 * more work than room for it sends whole cohorts of affinity keys to regions
 * with room, and takes them back, at a bounded rate: a step in traffic then
 * moves the share slowly, and a key that has moved stays warm where it is.
 */

/** Slots that a region's work needs, and has, for one service. */
export interface RegionCapacity {
  /** Work that the region's clients bring, in busy slots. */
  readonly demand: number;
  readonly slots: number;
}

export interface RegionSharesOptions {
  /** The region whose requests are divided. */
  readonly region: string;
  /** Share of the requests that may change region in a second. */
  readonly maximumShiftPerSecond: number;
}

export interface RegionShares {
  /**
   * @param rooms Of one service, by region; this region may be missing.
   */
  update(
    service: string,
    rooms: ReadonlyMap<string, RegionCapacity>,
    nowMs: number,
  ): void;
  /**
   * @param position Of the key, in [0, 1); equal at every VM.
   * @param spread A second position, independent of the first.
   */
  regionFor(service: string, position: number, spread: number): string;
  /** Share of the service's requests that stay. */
  localShare(service: string): number;
}

/** Busy share of a region's slots up to which it keeps its own work. */
const TARGET_UTILIZATION = 0.6;

interface RegionSplit {
  updatedAtMs: number;
  localShare: number;
  /** Other regions with their parts of what leaves; sums to 1 if not empty. */
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
    const rooms = hasDemand(measured) ? measured : withAssumedDemand(measured);
    const local = rooms.get(options.region);
    const hasLocalSlots = (local?.slots ?? 0) > 0;
    const limit = utilizationLimit(rooms);
    const away = remoteHeadroom(rooms, options.region, limit);
    const desired = desiredLocalShare(local, limit, away.size > 0);
    const passedSeconds = before ? (nowMs - before.updatedAtMs) / 1_000 : 0;
    const step = hasDemand(measured)
      ? options.maximumShiftPerSecond * Math.min(1, passedSeconds)
      : 1;
    // A VM that has just started joins the others where they are.
    const from = before?.localShare ?? desired;
    const localShare = Math.max(from - step, Math.min(from + step, desired));
    splits.set(service, {
      updatedAtMs: nowMs,
      localShare,
      remoteShares: away.size > 0 ? away : (before?.remoteShares ?? away),
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
    let passed = 0;
    let last = options.region;
    for (const [region, part] of split.remoteShares) {
      passed += part;
      last = region;
      if (spread < passed) {
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

/** Busy share of all slots assumed before any request has come. */
const ASSUMED_UTILIZATION = 0.5;

function hasDemand(rooms: ReadonlyMap<string, RegionCapacity>): boolean {
  for (const room of rooms.values()) {
    if (room.demand > 0) {
      return true;
    }
  }
  return false;
}

/** Equal work from every region, so that small ones begin with less of it. */
function withAssumedDemand(
  rooms: ReadonlyMap<string, RegionCapacity>,
): ReadonlyMap<string, RegionCapacity> {
  let slots = 0;
  for (const room of rooms.values()) {
    slots += room.slots;
  }
  const demand = (slots * ASSUMED_UTILIZATION) / Math.max(1, rooms.size);
  const assumed = new Map<string, RegionCapacity>();
  for (const [region, room] of rooms) {
    assumed.set(region, {demand, slots: room.slots});
  }
  return assumed;
}

/** Where all regions together have too little room, all fill up alike. */
function utilizationLimit(rooms: ReadonlyMap<string, RegionCapacity>): number {
  let demand = 0;
  let slots = 0;
  for (const room of rooms.values()) {
    demand += room.demand;
    slots += room.slots;
  }
  if (slots === 0) {
    return TARGET_UTILIZATION;
  }
  return Math.max(TARGET_UTILIZATION, demand / slots);
}

function remoteHeadroom(
  rooms: ReadonlyMap<string, RegionCapacity>,
  region: string,
  limit: number,
): ReadonlyMap<string, number> {
  const headroom = new Map<string, number>();
  let total = 0;
  for (const [name, room] of [...rooms].sort(compareByName)) {
    const left = room.slots * limit - room.demand;
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
