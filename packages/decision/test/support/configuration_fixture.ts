/** Builds configurations with three regions and one service. */
import {
  type Configuration,
  type Drain,
  type EntryVm,
  type ServicePolicy,
  type Shift,
  type Target,
  generation,
  regionName,
  serviceName,
  targetId,
  teamName,
  vmId,
  workspaceName,
  zoneName,
} from '../../src/index.js';

export const WORKSPACE = workspaceName('lodging');
export const OTHER_WORKSPACE = workspaceName('bands');
export const SERVICE = serviceName('rooms');
export const RIGA = regionName('riga');
export const KURZEME = regionName('kurzeme');
export const LATGALE = regionName('latgale');
export const REGIONS = [RIGA, KURZEME, LATGALE];

export const POLICY: ServicePolicy = {
  preference: 'latency',
  trafficClass: 'interactive',
  priority: 5,
  maximumPoolFraction: 1,
  defaultDeadlineMs: 2_000,
  maximumDeadlineMs: 10_000,
  maximumRequestBytes: 65_536,
  maximumHeldResponseBytes: 262_144,
  retryBudgetFraction: 0.1,
  hedging: {
    enabled: false,
    quantile: 0.95,
    budgetFraction: 0.02,
    minimumHeadroom: 0.3,
  },
  shift: {capFraction: 0.1, intervalMs: 60_000, failover: true},
  objective: {
    availability: 0.999,
    latencyThresholdMs: 250,
    latencyFraction: 0.99,
    windowDays: 28,
  },
};

export interface FixtureOptions {
  readonly generation?: number;
  /** Number of entry VMs per region. */
  readonly vms?: readonly number[];
  /** Slots of each target, by region. */
  readonly slots?: readonly (readonly number[])[];
  readonly policy?: Partial<ServicePolicy>;
  readonly otherPolicy?: Partial<ServicePolicy>;
  readonly drains?: readonly Drain[];
  readonly shifts?: readonly Shift[];
}

export function vmName(region: number, index: number): EntryVm['id'] {
  return vmId(`${REGIONS[region]}-${index + 1}`);
}

export function targetName(region: number, index: number): Target['id'] {
  return targetId(`rooms-${REGIONS[region]}-${index + 1}`);
}

const zoneAt = (index: number) => zoneName(index % 2 === 0 ? 'a' : 'b');

export function buildConfiguration(
  options: FixtureOptions = {},
): Configuration {
  const vms = options.vms ?? [3, 2, 2];
  const slots = options.slots ?? [
    [6, 6],
    [6, 6],
    [6, 6],
  ];
  const entryVms = vms.flatMap((count, region) =>
    Array.from({length: count}, (_, index) => buildVm(region, index)),
  );
  const targets = slots.flatMap((counts, region) =>
    counts.map((count, index) => buildTarget(region, index, count)),
  );
  const service = {name: SERVICE, owner: teamName('owners'), targets};
  const workspaces = [
    {workspace: WORKSPACE, policy: {...POLICY, ...options.policy}},
    {workspace: OTHER_WORKSPACE, policy: {...POLICY, ...options.otherPolicy}},
  ];
  return {
    generation: generation(options.generation ?? 1),
    regions: new Map(
      REGIONS.map(name => [name, {name, zones: [zoneAt(0), zoneAt(1)]}]),
    ),
    links: REGIONS.flatMap(from =>
      REGIONS.filter(to => to !== from).map(to => ({
        from,
        to,
        bitsPerSecond: 4_000_000_000,
        usableFraction: 0.5,
      })),
    ),
    entryVms: new Map(entryVms.map(vm => [vm.id, vm])),
    services: new Map([[SERVICE, service]]),
    targets: new Map(
      targets.map(target => [target.id, {service: SERVICE, target}]),
    ),
    workspaces: new Map(
      workspaces.map(({workspace, policy}) => [
        workspace,
        new Map([[SERVICE, {workspace, service: SERVICE, policy}]]),
      ]),
    ),
    approvals: [],
    drains: options.drains ?? [],
    shifts: options.shifts ?? [],
    clientBlocks: [],
  };
}

function buildVm(region: number, index: number): EntryVm {
  return {
    id: vmName(region, index),
    region: REGIONS[region]!,
    zone: zoneAt(index),
    callerAddress: `10.0.${region}.${index}:8080`,
    peerAddress: `10.0.${region}.${index}:8081`,
    operatorAddress: `10.0.${region}.${index}:8082`,
  };
}

function buildTarget(region: number, index: number, slots: number): Target {
  return {
    id: targetName(region, index),
    region: REGIONS[region]!,
    zone: zoneAt(index),
    address: `10.1.${region}.${index}:9000`,
    slots,
  };
}
