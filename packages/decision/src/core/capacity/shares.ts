/**
 * Divides the slots of a service in a region among the entry VMs configured
 * there. The division depends only on the configuration, not on which VMs are
 * alive, so every VM computes the same one.
 */
import type {
  Configuration,
  EntryVm,
  RegionName,
  ServiceName,
  Target,
  TargetId,
  VmId,
} from '../model/index.js';
import {rankByRendezvous} from '../hashing/index.js';

/** Slots by target. */
export type SlotShare = ReadonlyMap<TargetId, number>;

/** Entry VMs configured in a region, ordered by name. */
export function vmsOfRegion(
  configuration: Configuration,
  region: RegionName,
): readonly EntryVm[] {
  const vms = [...configuration.entryVms.values()];
  return vms
    .filter(vm => vm.region === region)
    .sort((one, other) => (one.id < other.id ? -1 : 1));
}

/** Targets of a service in a region, ordered by name. */
export function targetsOfRegion(
  configuration: Configuration,
  service: ServiceName,
  region: RegionName,
): readonly Target[] {
  const targets = configuration.services.get(service)?.targets ?? [];
  return targets
    .filter(target => target.region === region)
    .sort((one, other) => (one.id < other.id ? -1 : 1));
}

/**
 * Divides all slots of each target among the holders. Slot number `n` of the
 * pool, counted over the targets in order, belongs to holder `n mod holders`.
 *
 * @param vms Entry VMs of the region.
 * @param key Key of the rendezvous order in which holders are chosen.
 * @param minimumSlotsPerHolder A small pool gets fewer holders, so that each
 *     holds at least this number of slots.
 */
export function divideSlots(
  targets: readonly Target[],
  vms: readonly EntryVm[],
  key: string,
  minimumSlotsPerHolder: number,
): ReadonlyMap<VmId, SlotShare> {
  const shares = new Map<VmId, Map<TargetId, number>>();
  const holders = chooseHolders(targets, vms, key, minimumSlotsPerHolder);
  if (holders.length === 0) {
    return shares;
  }
  let position = 0;
  for (const target of targets) {
    for (let slot = 0; slot < target.slots; slot += 1) {
      const holder = holders[position % holders.length]!;
      const share = shares.get(holder) ?? new Map<TargetId, number>();
      share.set(target.id, (share.get(target.id) ?? 0) + 1);
      shares.set(holder, share);
      position += 1;
    }
  }
  return shares;
}

/** Returns the VMs that hold slots of the pool: all if it is large enough. */
export function chooseHolders(
  targets: readonly Target[],
  vms: readonly EntryVm[],
  key: string,
  minimumSlotsPerHolder: number,
): readonly VmId[] {
  let slots = 0;
  for (const target of targets) {
    slots += target.slots;
  }
  const maximumHolders = Math.max(1, Math.floor(slots / minimumSlotsPerHolder));
  const ordered = interleaveZones(vms, key);
  return ordered.slice(0, Math.min(maximumHolders, ordered.length));
}

/** Rendezvous order with VMs of different zones interleaved. */
function interleaveZones(
  vms: readonly EntryVm[],
  key: string,
): readonly VmId[] {
  const byZone = new Map<string, VmId[]>();
  const zoneOf = new Map(vms.map(vm => [vm.id, vm.zone]));
  const order = rankByRendezvous(
    key,
    vms.map(vm => vm.id),
  );
  for (const vm of order) {
    const zone = zoneOf.get(vm)!;
    const members = byZone.get(zone) ?? [];
    members.push(vm);
    byZone.set(zone, members);
  }
  const interleaved: VmId[] = [];
  const queues = [...byZone.values()];
  while (interleaved.length < vms.length) {
    for (const queue of queues) {
      const vm = queue.shift();
      if (vm !== undefined) {
        interleaved.push(vm);
      }
    }
  }
  return interleaved;
}
