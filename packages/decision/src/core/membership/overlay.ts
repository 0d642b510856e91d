/** Link topology: a few links within a region and a few to other regions. */
import type {RegionName, VmId} from '../model/index.js';
import {hash32, rankByRendezvous} from '../hashing/index.js';
import type {VmRecord} from './records.js';

/** Number of VMs in each region that keep links to other regions. */
export const DELEGATES_PER_REGION = 2;
/** Regions of up to this many VMs are fully meshed. */
const FULL_MESH_VMS = 5;
/** Ratio of successive link distances on the ring of regions. */
const REGION_OFFSET_FACTOR = 3;

function isUsable(record: VmRecord): boolean {
  return record.state === 'live' || record.state === 'leaving';
}

/** Returns the usable VMs by region; `self` always counts as usable. */
export function usableByRegion(
  records: Iterable<VmRecord>,
  self: VmId,
): ReadonlyMap<RegionName, readonly VmId[]> {
  const usable = new Map<RegionName, VmId[]>();
  for (const record of records) {
    const vms = usable.get(record.region) ?? [];
    usable.set(record.region, vms);
    if (isUsable(record) || record.vm === self) {
      vms.push(record.vm);
    }
  }
  return usable;
}

/**
 * Neighbours on a ring in hash order: the adjacent VMs and those about the
 * square root of the ring size away, in both directions. This gives four links
 * and a short diameter, and both ends of a link select it independently.
 */
export function regionNeighbours(
  vms: readonly VmId[],
  self: VmId,
): readonly VmId[] {
  const others = vms.filter(vm => vm !== self);
  if (vms.length <= FULL_MESH_VMS) {
    return others;
  }
  const ring = [...vms].sort(
    (one, other) => hash32(one) - hash32(other) || (one < other ? -1 : 1),
  );
  const index = ring.indexOf(self);
  const chord = Math.max(2, Math.round(Math.sqrt(ring.length)));
  const found = new Set<VmId>();
  for (const offset of [1, -1, chord, -chord]) {
    found.add(ring[(index + offset + ring.length) % ring.length]!);
  }
  found.delete(self);
  return [...found];
}

/** Returns the regions to which the delegates of a region open links. */
export function linkedRegions(
  regions: readonly RegionName[],
  own: RegionName,
): readonly RegionName[] {
  const ring = [...regions].sort();
  const index = ring.indexOf(own);
  const found = new Set<RegionName>();
  for (let offset = 1; offset < ring.length; offset *= REGION_OFFSET_FACTOR) {
    found.add(ring[(index + offset) % ring.length]!);
  }
  found.delete(own);
  return [...found];
}

/**
 * Returns the VMs in rank order. The first `DELEGATES_PER_REGION` of the usable
 * VMs of a region are its delegates.
 */
export function rankDelegates(
  region: RegionName,
  vms: readonly VmId[],
): readonly VmId[] {
  return rankByRendezvous(`delegates ${region}`, vms);
}
