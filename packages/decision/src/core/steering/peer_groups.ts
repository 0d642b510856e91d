/** Groups of peers, that is, of the other configured entry VMs. */
import {rankByRendezvous} from '../hashing/index.js';
import type {RegionName, VmId} from '../model/index.js';
import type {SteeringContext} from './context.js';

export function listPeers(context: SteeringContext): readonly VmId[] {
  const vms = [...(context.configuration()?.entryVms.keys() ?? [])];
  return vms.filter(vm => vm !== context.vm);
}

/** All peers in this region, whatever their state. */
export function listRegionPeers(context: SteeringContext): readonly VmId[] {
  const vms = context.configuration()?.entryVms;
  return listPeers(context).filter(
    vm => vms?.get(vm)?.region === context.region,
  );
}

/**
 * All peers in this region, and up to `perRegion` of each other region. The
 * selection is stable and differs between VMs.
 */
export function selectSyncPeers(
  context: SteeringContext,
  perRegion: number,
): readonly VmId[] {
  const configuration = context.configuration();
  const counts = new Map<RegionName, number>();
  const chosen: VmId[] = [];
  for (const vm of rankByRendezvous(context.vm, listPeers(context))) {
    const region = configuration?.entryVms.get(vm)?.region;
    if (region === undefined) {
      continue;
    }
    const count = counts.get(region) ?? 0;
    if (region === context.region || count < perRegion) {
      chosen.push(vm);
      counts.set(region, count + 1);
    }
  }
  return chosen;
}
