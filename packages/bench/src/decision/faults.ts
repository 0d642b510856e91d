/** Faults that a scenario injects at scheduled times. */
import {
  type RandomSource,
  type RegionName,
  type ServiceName,
  type TargetId,
  type VmId,
  assertNever,
} from '@ibisbeam/decision';
import type {SimulatedTarget} from './simulated_target.js';
import type {Callers} from './callers.js';
import {type MembershipObserver, scheduleLeavingListing} from './observers.js';
import type {EntryVmHost, Operation, World} from './types.js';

export type Fault =
  | {
      readonly kind: 'target-slow';
      readonly target: TargetId;
      readonly factor: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'target-fails-fast';
      readonly target: TargetId;
      readonly forMs: number;
    }
  | {readonly kind: 'targets-cold'; readonly region: RegionName}
  | {readonly kind: 'target-crashes'; readonly target: TargetId}
  | {
      readonly kind: 'service-gone';
      readonly service: ServiceName;
      readonly region: RegionName;
      readonly forMs: number;
    }
  | {readonly kind: 'target-leaves'; readonly target: TargetId}
  | {
      readonly kind: 'reports-lag';
      readonly lagMs: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'reports-lie';
      readonly service: ServiceName;
      readonly forMs: number;
    }
  | {
      readonly kind: 'region-gone';
      readonly region: RegionName;
      readonly forMs: number;
    }
  | {
      readonly kind: 'regions-cut';
      readonly one: RegionName;
      readonly other: RegionName;
      readonly forMs: number;
    }
  | {readonly kind: 'store-away'; readonly forMs: number}
  | {
      readonly kind: 'vm-lost';
      readonly vm: VmId;
      readonly replacedAfterMs: number;
    }
  | {readonly kind: 'vm-paused'; readonly vm: VmId; readonly forMs: number}
  | {readonly kind: 'crashing-request'; readonly operation: Operation};

export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

const CRASHING_REQUEST_RESENDS = 20;

export interface FaultDependencies {
  readonly world: World;
  readonly callers: Callers;
  readonly membership: MembershipObserver;
}

export function applyFault(
  fault: Fault,
  {world, callers, membership}: FaultDependencies,
): void {
  const {loop} = world;
  switch (fault.kind) {
    case 'target-slow': {
      const {faults} = targetOf(world, fault.target);
      faults.slowFactor = fault.factor;
      loop.after(fault.forMs, () => {
        faults.slowFactor = 1;
      });
      return;
    }
    case 'target-fails-fast': {
      const {faults} = targetOf(world, fault.target);
      faults.failsFast = true;
      loop.after(fault.forMs, () => {
        faults.failsFast = false;
      });
      return;
    }
    case 'targets-cold':
      for (const target of targetsIn(world, fault.region)) {
        target.resetWarmUp();
      }
      return;
    case 'target-crashes':
      targetOf(world, fault.target).fail();
      return;
    case 'service-gone':
      failService(world, fault.service, fault.region, fault.forMs);
      return;
    case 'target-leaves':
      targetOf(world, fault.target).startLeaving();
      scheduleLeavingListing(world, fault.target);
      return;
    case 'reports-lag': {
      const before = world.reportLagMs();
      world.setReportLagMs(fault.lagMs);
      loop.after(fault.forMs, () => world.setReportLagMs(before));
      return;
    }
    case 'reports-lie':
      falsifyReports(world, fault.service, fault.forMs);
      return;
    case 'region-gone':
      failRegion(world, fault.region, fault.forMs, membership);
      return;
    case 'regions-cut':
      world.network.partition(fault.one, fault.other);
      loop.after(fault.forMs, () => world.network.heal(fault.one, fault.other));
      return;
    case 'store-away':
      world.setStoreUp(false);
      loop.after(fault.forMs, () => world.setStoreUp(true));
      return;
    case 'vm-lost': {
      const host = world.hosts.get(fault.vm)!;
      host.crash();
      scheduleReboot(world, host, fault.replacedAfterMs, membership);
      return;
    }
    case 'vm-paused':
      world.hosts.get(fault.vm)!.pauseFor(fault.forMs);
      return;
    case 'crashing-request':
      callers.begin(
        {...fault.operation, startedMs: loop.nowMs()},
        CRASHING_REQUEST_RESENDS,
      );
      return;
    default:
      assertNever(fault);
  }
}

function falsifyReports(
  world: World,
  service: ServiceName,
  forMs: number,
): void {
  for (const target of world.configuration.services.get(service)!.targets) {
    const {faults} = targetOf(world, target.id);
    faults.reports = 'lying';
    world.loop.after(forMs, () => {
      faults.reports = 'true';
    });
  }
}

function failService(
  world: World,
  service: ServiceName,
  region: RegionName,
  forMs: number,
): void {
  for (const target of world.configuration.services.get(service)!.targets) {
    if (target.region !== region) {
      continue;
    }
    const lost = targetOf(world, target.id);
    lost.fail(undefined, false);
    world.loop.after(forMs, () => lost.restart());
  }
}

function failRegion(
  world: World,
  region: RegionName,
  forMs: number,
  membership: MembershipObserver,
): void {
  world.setRegionUp(region, false);
  for (const target of targetsIn(world, region)) {
    target.fail(undefined, false);
  }
  const lost = [...world.hosts.values()].filter(
    host => host.vm.region === region && host.up(),
  );
  for (const host of lost) {
    host.crash();
  }
  world.loop.after(forMs, () => {
    world.setRegionUp(region, true);
    for (const target of targetsIn(world, region)) {
      target.restart();
    }
    for (const host of lost) {
      host.boot(membership.viewOf(host));
    }
  });
}

function scheduleReboot(
  world: World,
  host: EntryVmHost,
  delayMs: number,
  membership: MembershipObserver,
): void {
  world.loop.after(delayMs, () => {
    if (!host.up() && world.regionUp(host.vm.region)) {
      host.boot(membership.viewOf(host));
    }
  });
}

function targetOf(world: World, target: TargetId): SimulatedTarget {
  return world.targets.get(target)!;
}

function targetsIn(
  world: World,
  region: RegionName,
): readonly SimulatedTarget[] {
  return [...world.targets.values()].filter(
    target => target.specification.region === region,
  );
}

/** Draws a random fault that can be combined with any scenario. */
export function drawSecondFault(
  world: Pick<World, 'configuration'>,
  random: RandomSource,
  forMs: number,
): Fault {
  const targets = [...world.configuration.targets.keys()];
  const vms = [...world.configuration.entryVms.keys()];
  const regions = [...world.configuration.regions.keys()];
  const target = targets[random.below(targets.length)]!;
  const vm = vms[random.below(vms.length)]!;
  const first = random.below(regions.length);
  const second = (first + 1) % regions.length;
  const choices: readonly Fault[] = [
    {kind: 'target-slow', target, factor: 5, forMs},
    {kind: 'target-fails-fast', target, forMs},
    {kind: 'target-crashes', target},
    {kind: 'target-leaves', target},
    {kind: 'reports-lag', lagMs: 5_000, forMs},
    {kind: 'store-away', forMs},
    {kind: 'vm-lost', vm, replacedAfterMs: 8_000},
    {kind: 'vm-paused', vm, forMs: 4_000},
    {
      kind: 'regions-cut',
      one: regions[first]!,
      other: regions[second]!,
      forMs: forMs / 2,
    },
  ];
  return choices[random.below(choices.length)]!;
}
