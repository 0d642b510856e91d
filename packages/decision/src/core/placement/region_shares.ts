/**
 * Which part of a region's requests runs in other regions. A region that has
 * more work than room for it sends whole cohorts of affinity keys to regions
 * with room, and takes them back, at a bounded rate: a step in traffic then
 * moves the share slowly, and a key that has moved stays warm where it is.
 */

/** Slots that a region's work needs, and has, for one service. */
export interface RegionRoom {
  /** Work that the region's clients bring, in busy slots. */
  readonly demand: number;
  readonly slots: number;
}

export interface RegionSharesOptions {
  /** The region whose requests are divided. */
  readonly region: string;
  /** Share of the requests that may change region in a second. */
  readonly movePerSecond: number;
}

export interface RegionShares {
  /**
   * @param rooms Of one service, by region; this region may be missing.
   */
  update(
    service: string,
    rooms: ReadonlyMap<string, RegionRoom>,
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
const COMFORTABLE_UTILIZATION = 0.6;

interface Division {
  updatedAtMs: number;
  localShare: number;
  /** Other regions with their parts of what leaves; sums to 1 if not empty. */
  away: ReadonlyMap<string, number>;
  hasLocalSlots: boolean;
}

export function createRegionShares(options: RegionSharesOptions): RegionShares {
  const divisions = new Map<string, Division>();

  function update(
    service: string,
    measured: ReadonlyMap<string, RegionRoom>,
    nowMs: number,
  ): void {
    const before = divisions.get(service);
    const rooms = hasDemand(measured) ? measured : withAssumedDemand(measured);
    const local = rooms.get(options.region);
    const hasLocalSlots = (local?.slots ?? 0) > 0;
    const limit = utilizationLimit(rooms);
    const away = roomElsewhere(rooms, options.region, limit);
    const wanted = wantedLocalShare(local, limit, away.size > 0);
    const passedSeconds = before ? (nowMs - before.updatedAtMs) / 1_000 : 0;
    const step = hasDemand(measured)
      ? options.movePerSecond * Math.min(1, passedSeconds)
      : 1;
    // A VM that has just started joins the others where they are.
    const from = before?.localShare ?? wanted;
    const localShare = Math.max(from - step, Math.min(from + step, wanted));
    divisions.set(service, {
      updatedAtMs: nowMs,
      localShare,
      away: away.size > 0 ? away : (before?.away ?? away),
      hasLocalSlots,
    });
  }

  function regionFor(
    service: string,
    position: number,
    spread: number,
  ): string {
    const division = divisions.get(service);
    if (!division || division.away.size === 0) {
      return options.region;
    }
    if (division.hasLocalSlots && position < division.localShare) {
      return options.region;
    }
    let passed = 0;
    let last = options.region;
    for (const [region, part] of division.away) {
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
    localShare: service => divisions.get(service)?.localShare ?? 1,
  };
}

/** Busy share of all slots assumed before any request has come. */
const ASSUMED_UTILIZATION = 0.5;

function hasDemand(rooms: ReadonlyMap<string, RegionRoom>): boolean {
  for (const room of rooms.values()) {
    if (room.demand > 0) {
      return true;
    }
  }
  return false;
}

/** Equal work from every region, so that small ones begin with less of it. */
function withAssumedDemand(
  rooms: ReadonlyMap<string, RegionRoom>,
): ReadonlyMap<string, RegionRoom> {
  let slots = 0;
  for (const room of rooms.values()) {
    slots += room.slots;
  }
  const demand = (slots * ASSUMED_UTILIZATION) / Math.max(1, rooms.size);
  const assumed = new Map<string, RegionRoom>();
  for (const [region, room] of rooms) {
    assumed.set(region, {demand, slots: room.slots});
  }
  return assumed;
}

/** Where all regions together have too little room, all fill up alike. */
function utilizationLimit(rooms: ReadonlyMap<string, RegionRoom>): number {
  let demand = 0;
  let slots = 0;
  for (const room of rooms.values()) {
    demand += room.demand;
    slots += room.slots;
  }
  if (slots === 0) {
    return COMFORTABLE_UTILIZATION;
  }
  return Math.max(COMFORTABLE_UTILIZATION, demand / slots);
}

function roomElsewhere(
  rooms: ReadonlyMap<string, RegionRoom>,
  region: string,
  limit: number,
): ReadonlyMap<string, number> {
  const spare = new Map<string, number>();
  let total = 0;
  for (const [name, room] of [...rooms].sort(byName)) {
    const left = room.slots * limit - room.demand;
    if (name !== region && left > 0) {
      spare.set(name, left);
      total += left;
    }
  }
  for (const [name, left] of spare) {
    spare.set(name, left / total);
  }
  return spare;
}

function wantedLocalShare(
  local: RegionRoom | undefined,
  limit: number,
  hasRoomElsewhere: boolean,
): number {
  if (!hasRoomElsewhere) {
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

function byName(
  [one]: readonly [string, unknown],
  [other]: readonly [string, unknown],
): number {
  return one < other ? -1 : 1;
}
