/**
 * Delivers target reports and membership views to the simulated VMs, with the
 * delay and inaccuracy that the current faults cause.
 */
import type {
  MembershipView,
  RegionName,
  TargetId,
  VmId,
  VmState,
  VmView,
} from '@ibisbeam/decision';
import type {EntryVmHost, World} from './types.js';

const REPORT_INTERVAL_MS = 1_000;
const TARGET_LISTING_LAG_MS = 2_000;
const MEMBERSHIP_INTERVAL_MS = 500;
/** Time without heartbeats after which a peer is suspected. */
const SUSPECT_TIMEOUT_MS = 3_000;
/** Delay until the platform's list shows that a VM is gone. */
const GONE_LISTING_DELAY_MS = 10_000;

/**
 * Polls all targets periodically and delivers their reports to the VMs that can
 * reach them, after the current report lag.
 */
export function startTargetReports(world: World): void {
  const {loop} = world;

  function poll(): void {
    for (const target of world.targets.values()) {
      const report = target.report();
      const {region} = target.specification;
      if (!report || !world.regionUp(region)) {
        continue;
      }
      loop.after(world.reportLagMs(), () => {
        for (const host of hostsThatReach(world, region)) {
          if (report.leaving) {
            world.record({
              kind: 'leaving-signed',
              atMs: loop.nowMs(),
              target: report.target,
            });
          }
          host.deliver({kind: 'target-reported', report});
        }
      });
    }
    loop.after(REPORT_INTERVAL_MS, poll);
  }

  poll();
}

/**
 * Tells every VM, after the listing lag, that the platform lists the target as
 * leaving. Skipped if the store is unavailable at that time.
 */
export function scheduleLeavingListing(world: World, target: TargetId): void {
  world.loop.after(TARGET_LISTING_LAG_MS, () => {
    if (!world.storeUp()) {
      return;
    }
    world.record({
      kind: 'leaving-signed',
      atMs: world.loop.nowMs(),
      target,
    });
    for (const host of world.hosts.values()) {
      host.deliver({kind: 'target-leaving', target, source: 'platform-list'});
    }
  });
}

function hostsThatReach(
  world: World,
  region: RegionName,
): readonly EntryVmHost[] {
  return [...world.hosts.values()].filter(
    host =>
      host.up() &&
      world.regionUp(host.vm.region) &&
      world.network.reachable(host.vm.region, region),
  );
}

export interface MembershipObserver {
  viewOf(host: EntryVmHost): MembershipView;
}

/** Delivers a new membership view to each VM whenever its view changes. */
export function startMembership(world: World): MembershipObserver {
  const {loop} = world;
  const lastHeardMs = new Map<string, number>();
  const downSinceMs = new Map<VmId, number>();
  const lastPublished = new Map<VmId, string>();

  function observe(): void {
    for (const host of world.hosts.values()) {
      trackDowntime(host);
      for (const peer of world.hosts.values()) {
        if (receivesHeartbeats(world, host, peer)) {
          lastHeardMs.set(`${host.vm.id}<${peer.vm.id}`, loop.nowMs());
        }
      }
    }
    for (const host of world.hosts.values()) {
      publishView(host);
    }
    loop.after(MEMBERSHIP_INTERVAL_MS, observe);
  }

  function trackDowntime(host: EntryVmHost): void {
    if (host.up() && world.regionUp(host.vm.region)) {
      downSinceMs.delete(host.vm.id);
      return;
    }
    if (!downSinceMs.has(host.vm.id)) {
      downSinceMs.set(host.vm.id, loop.nowMs());
    }
  }

  function publishView(host: EntryVmHost): void {
    if (!host.up() || host.paused()) {
      lastPublished.delete(host.vm.id);
      return;
    }
    const view = viewOf(host);
    const summary = [...view.vms.values()]
      .map(vm => `${vm.state}/${vm.incarnation}`)
      .join();
    if (lastPublished.get(host.vm.id) === summary) {
      return;
    }
    lastPublished.set(host.vm.id, summary);
    host.deliver({kind: 'membership-changed', view});
  }

  function stateOf(host: EntryVmHost, peer: EntryVmHost): VmState {
    if (host === peer) {
      return 'live';
    }
    const downSince = downSinceMs.get(peer.vm.id) ?? Infinity;
    if (world.storeUp() && loop.nowMs() - downSince > GONE_LISTING_DELAY_MS) {
      return 'gone';
    }
    const lastHeard = lastHeardMs.get(`${host.vm.id}<${peer.vm.id}`) ?? 0;
    return loop.nowMs() - lastHeard > SUSPECT_TIMEOUT_MS ? 'suspect' : 'live';
  }

  function viewOf(host: EntryVmHost): MembershipView {
    const vms = new Map<VmId, VmView>();
    const liveRegions = new Set<RegionName>();
    for (const peer of world.hosts.values()) {
      const state = stateOf(host, peer);
      const {id, region, zone} = peer.vm;
      const incarnation = peer.incarnation();
      vms.set(id, {vm: id, incarnation, region, zone, state});
      if (state === 'live') {
        liveRegions.add(region);
      }
    }
    const regions = [...world.configuration.regions.keys()];
    return {
      atMs: loop.nowMs(),
      vms,
      silentRegions: new Set(regions.filter(name => !liveRegions.has(name))),
      selfDoubt: false,
    };
  }

  observe();
  return {viewOf};
}

function receivesHeartbeats(
  world: World,
  host: EntryVmHost,
  peer: EntryVmHost,
): boolean {
  return (
    peer.up() &&
    !peer.paused() &&
    world.regionUp(peer.vm.region) &&
    world.network.reachable(host.vm.region, peer.vm.region)
  );
}
