/** Groups of peers, that is, of the other configured entry VMs. */
import {rankByRendezvous} from '../hashing/index.js';
import type {RegionName, VmId} from '../model/index.js';
import type {SteeringContext} from './context.js';

export function allPeers(context: SteeringContext): readonly VmId[] {
  const vms = [...(context.configuration()?.entryVms.keys() ?? [])];
  return vms.filter(vm => vm !== context.vm);
}

/** All peers in this region, whatever their state. */
export function regionPeers(context: SteeringContext): readonly VmId[] {
  const vms = context.configuration()?.entryVms;
  return allPeers(context).filter(
    vm => vms?.get(vm)?.region === context.region,
  );
}

/** All peers in this region, and a stable selection of each other region. */
export function syncPeers(
  context: SteeringContext,
  perRegion: number,
): readonly VmId[] {
  const configuration = context.configuration();
  const counts = new Map<RegionName, number>();
  const chosen: VmId[] = [];
  for (const vm of rankByRendezvous(context.vm, allPeers(context))) {
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
