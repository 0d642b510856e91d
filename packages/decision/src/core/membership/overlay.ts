/** Which links a VM keeps: a few in its region, a few to other regions. */
import type {RegionName, VmId} from '../model/index.js';
import {hash32, rankByRendezvous} from '../hashing/index.js';
import type {VmRecord} from './records.js';

/** VMs of a region that keep links to other regions. */
export const DELEGATES_PER_REGION = 2;
/** In a region of up to this many VMs, each links to each. */
const FULL_MESH_VMS = 5;
/** Distances on the ring of regions grow by this factor. */
const REGION_OFFSET_FACTOR = 3;

function isUsable(record: VmRecord): boolean {
  return record.state === 'live' || record.state === 'leaving';
}

/** By region, with this VM always among the usable ones of its own. */
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
 * Neighbours on a ring in hash order: the next ones and those about the
 * square root of the ring away, both ways. Four links, a short diameter, and
 * both ends agree without a word.
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

/** Regions to which the delegates of a region open links. */
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

export function delegatesOf(
  region: RegionName,
  vms: readonly VmId[],
): readonly VmId[] {
  return rankByRendezvous(`delegates ${region}`, vms);
}
