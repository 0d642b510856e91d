/** Runs one scenario with one strategy and returns its trace and outcomes. */
import {
  type Configuration,
  type RandomSource,
  type RegionName,
  type ServiceName,
  type Shift,
  type WorkspaceName,
  compileConfiguration,
  createRandomSource,
  generation,
} from '@ibisbeam/decision';
import type {Trace, TraceEvent, TraceSetup} from '@ibisbeam/invariants';
import {
  type DeploymentName,
  LINK_BITS_PER_SECOND,
  buildDeployment,
} from '@ibisbeam/stand-ins';
import {
  type SimulatedTarget,
  createSimulatedTarget,
} from './simulated_target.js';
import {type Callers, createCallers} from './callers.js';
import {createClaimRegistry} from './claim_registry.js';
import {createEntryVmHost} from './entry_vm_host.js';
import {createEventLoop} from './event_loop.js';
import {type PlannedFault, applyFault, drawSecondFault} from './faults.js';
import {createNetwork} from './network.js';
import {startMembership, startTargetReports} from './observers.js';
import type {OperationOutcome, Strategy, World} from './types.js';
import {
  CALLERS_PER_REGION,
  type LoadShape,
  createArrivalStream,
} from './workload.js';

const ENTRY_VM_COUNT = 7;
const DEFAULT_REPORT_LAG_MS = 1_500;
/** Upper limit of the resends drawn for each operation. */
const MAXIMUM_RESENDS = 2;
/** Lets in-flight requests complete after the last arrival. */
const COMPLETION_GRACE_MS = 12_000;

export interface Scenario {
  readonly name: string;
  readonly deployment: DeploymentName;
  readonly durationMs: number;
  /** Warm-up: operations that start earlier are not measured. */
  readonly measureFromMs: number;
  /** Overrides the interval of all shift policies; the cap is unchanged. */
  readonly shiftIntervalMs?: number;
  readonly shape: LoadShape;
  /** Planned shifts to add to the configuration; none if absent. */
  readonly shifts?: (workspace: WorkspaceName) => readonly Shift[];
  readonly faults: (configuration: Configuration) => readonly PlannedFault[];
  /** Time of a second fault, drawn from the seed; none if absent. */
  readonly secondFaultAtMs?: number;
}

export interface RunResult {
  readonly scenario: Scenario;
  readonly configuration: Configuration;
  readonly trace: Trace;
  readonly outcomes: readonly OperationOutcome[];
  readonly faults: readonly PlannedFault[];
}

export function runScenario(
  scenario: Scenario,
  strategy: Strategy,
  seed: number,
): RunResult {
  const events: TraceEvent[] = [];
  const configuration = compileScenarioConfiguration(scenario);
  const world = createWorld(configuration, strategy, seed, event => {
    events.push(event);
  });
  const membership = startMembership(world);
  for (const host of world.hosts.values()) {
    host.boot(undefined);
  }
  for (const host of world.hosts.values()) {
    host.deliver({kind: 'membership-changed', view: membership.viewOf(host)});
  }
  startTargetReports(world);
  const callers = createCallers(world, world.random('callers'));
  const faults = planFaults(
    scenario,
    configuration,
    world.random(`faults/${scenario.name}`),
  );
  for (const {atMs, fault} of faults) {
    world.loop.at(atMs, () => applyFault(fault, {world, callers, membership}));
  }
  startArrivals(scenario, world, callers);
  world.loop.runUntil(scenario.durationMs + COMPLETION_GRACE_MS);
  return {
    scenario,
    configuration,
    trace: {setup: traceSetupOf(configuration), events},
    outcomes: callers.outcomes,
    faults,
  };
}

function planFaults(
  scenario: Scenario,
  configuration: Configuration,
  random: RandomSource,
): readonly PlannedFault[] {
  const planned = scenario.faults(configuration);
  const {secondFaultAtMs} = scenario;
  if (secondFaultAtMs === undefined) {
    return planned;
  }
  const forMs = (scenario.durationMs - secondFaultAtMs) / 2;
  const second = drawSecondFault({configuration}, random, forMs);
  return [...planned, {atMs: secondFaultAtMs, fault: second}];
}

function startArrivals(
  scenario: Scenario,
  world: World,
  callers: Callers,
): void {
  const [workspace, services] = [...world.configuration.workspaces][0]!;
  for (const service of services.keys()) {
    for (const home of world.configuration.regions.keys()) {
      startArrivalsOf(scenario, world, callers, workspace, service, home);
    }
  }
}

function startArrivalsOf(
  scenario: Scenario,
  world: World,
  callers: Callers,
  workspace: WorkspaceName,
  service: ServiceName,
  home: RegionName,
): void {
  const random = world.random(`arrivals/${service}/${home}`);
  const stream = createArrivalStream({
    configuration: world.configuration,
    workspace,
    service,
    home,
    shape: scenario.shape,
    untilMs: scenario.durationMs,
    random,
  });

  function scheduleNext(afterMs: number): void {
    const operation = stream.next(afterMs);
    if (!operation) {
      return;
    }
    const resends = random.below(MAXIMUM_RESENDS + 1);
    world.loop.at(operation.startedMs, () => {
      callers.begin(operation, resends);
      scheduleNext(operation.startedMs);
    });
  }

  scheduleNext(0);
}

function compileScenarioConfiguration(scenario: Scenario): Configuration {
  const document = new Map(
    buildDeployment({
      name: scenario.deployment,
      entryVmCount: ENTRY_VM_COUNT,
      workerDivisor: 1,
      clientBlockCount: 300,
    }),
  );
  const {shiftIntervalMs, shifts} = scenario;
  for (const [name, section] of document) {
    if (section.kind === 'workspace' && shifts) {
      const planned = shifts(section.workspace.name);
      document.set('shifts', {kind: 'shifts', shifts: planned});
    }
    if (section.kind !== 'template' || shiftIntervalMs === undefined) {
      continue;
    }
    const policies: Record<string, Record<string, unknown>> = {};
    for (const [service, policy] of Object.entries(section.template.policies)) {
      const shift = policy['shift'] as object;
      policies[service] = {
        ...policy,
        shift: {...shift, intervalMs: shiftIntervalMs},
      };
    }
    document.set(name, {
      ...section,
      template: {...section.template, policies: policies as never},
    });
  }
  return compileConfiguration(document, generation(1))
    .mapLeft(problems => {
      throw new Error(
        `configuration of scenario ${scenario.name} is invalid: ${JSON.stringify(problems)}`,
      );
    })
    .extract() as Configuration;
}

function traceSetupOf(configuration: Configuration): TraceSetup {
  const targets = new Map();
  for (const [id, {service, target}] of configuration.targets) {
    targets.set(id, {service, region: target.region, slots: target.slots});
  }
  const shiftCaps = new Map();
  for (const services of configuration.workspaces.values()) {
    for (const [service, {policy}] of services) {
      shiftCaps.set(service, policy.shift);
    }
  }
  const links = configuration.links.map(link => ({
    from: link.from,
    to: link.to,
    usableBitsPerSecond: link.bitsPerSecond * link.usableFraction,
  }));
  return {targets, links, shiftCaps, cohorts: CALLERS_PER_REGION};
}

function createWorld(
  configuration: Configuration,
  strategy: Strategy,
  seed: number,
  record: (event: TraceEvent) => void,
): World {
  const loop = createEventLoop();
  const regionsDown = new Set<RegionName>();
  let storeUp = true;
  let reportLagMs = DEFAULT_REPORT_LAG_MS;
  const targets = new Map<
    SimulatedTarget['specification']['id'],
    SimulatedTarget
  >();
  for (const [id, {target}] of configuration.targets) {
    const random = createRandomSource(seedFor(seed, `target/${id}`));
    targets.set(id, createSimulatedTarget(target, loop, record, random));
  }
  const world: World = {
    loop,
    network: createNetwork(loop, LINK_BITS_PER_SECOND, record),
    configuration,
    targets,
    hosts: new Map(),
    claims: createClaimRegistry(),
    createSteering: strategy.createFactory(),
    random: purpose => createRandomSource(seedFor(seed, purpose)),
    record,
    regionUp: region => !regionsDown.has(region),
    setRegionUp: (region, up) => {
      if (up) {
        regionsDown.delete(region);
      } else {
        regionsDown.add(region);
      }
    },
    storeUp: () => storeUp,
    setStoreUp: up => {
      storeUp = up;
    },
    reportLagMs: () => reportLagMs,
    setReportLagMs: lagMs => {
      reportLagMs = lagMs;
    },
  };
  for (const vm of configuration.entryVms.values()) {
    world.hosts.set(vm.id, createEntryVmHost(world, vm));
  }
  return world;
}

/**
 * Derives an independent seed for each purpose, so that extra draws for one
 * purpose do not change the sequence of another.
 */
function seedFor(seed: number, purpose: string): number {
  let hash = seed | 0;
  for (const character of purpose) {
    hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193);
  }
  return hash;
}
