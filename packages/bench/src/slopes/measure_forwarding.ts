/** Measures slot shares, memory and processor time of the steering of a VM. */
import {
  type Configuration,
  type RequestMetadata,
  type Steering,
  type SteeringAction,
  type VmId,
  compileConfiguration,
  createRandomSource,
  createSteering,
  generation,
  regionName,
  requestId,
  serviceName,
  teamName,
  workspaceName,
} from '@ibisbeam/decision';
import {type FleetSize, scaledDocument} from './scaled_configuration.js';

const SERVICE = serviceName('bookings');
const REQUEST_COUNT = 20_000;
const DEADLINE_MS = 10_000;

export interface ShareFigures {
  readonly vms: number;
  /** Fraction of the region's slots that its VMs own in total. */
  readonly ownedFraction: number;
  /** Slots that the VMs own in total beyond those of the region. */
  readonly excessSlots: number;
  readonly smallestShare: number;
  readonly vmsWithSlots: number;
}

/** Measures how the slots of one service in one region divide over its VMs. */
export function measureShares(size: FleetSize): ShareFigures {
  const configuration = compileScaledConfiguration(size);
  const homeRegion = regionName('region-1');
  const vms = [...configuration.entryVms.values()].filter(
    vm => vm.region === homeRegion,
  );
  const targets = configuration.services.get(SERVICE)!.targets;
  const regionTargets = targets.filter(target => target.region === homeRegion);
  const slots = regionTargets.reduce((sum, target) => sum + target.slots, 0);
  const owned: number[] = [];
  for (const vm of vms) {
    const steering = createSteeringFor(vm.id, configuration);
    const {pools} = steering.status({nowMs: 0, wallMs: 0});
    const pool = pools.find(candidate => candidate.service === SERVICE);
    owned.push(pool?.ownedSlots ?? 0);
  }
  const nonZeroShares = owned.filter(share => share > 0);
  const ownedSlots = owned.reduce((total, share) => total + share, 0);
  return {
    vms: vms.length,
    ownedFraction: ownedSlots / slots,
    excessSlots: Math.max(0, ownedSlots - slots),
    smallestShare: Math.min(...nonZeroShares),
    vmsWithSlots: nonZeroShares.length,
  };
}

export interface ForwardingFigures {
  readonly inFlight: number;
  readonly bytesPerRequest: number;
  /** Processor time of all steering steps of a request, arrival to answer. */
  readonly microsecondsPerRequest: number;
}

/** Measures the steering of one VM with `inFlight` requests at once. */
export function measureForwarding(
  inFlight: number,
  size: FleetSize,
): ForwardingFigures {
  const configuration = compileScaledConfiguration(size);
  const vm = [...configuration.entryVms.keys()][0]!;
  const steering = createSteeringFor(vm, configuration);
  const memoryBefore = usedMemoryBytes();
  for (let index = 0; index < inFlight; index += 1) {
    startRequest(steering, `held-${index}`, 1);
  }
  const bytesPerRequest = (usedMemoryBytes() - memoryBefore) / inFlight;
  const idleSteering = createSteeringFor(vm, configuration);
  const before = process.cpuUsage();
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    completeRequest(idleSteering, `request-${index}`, 2 + index);
  }
  const used = process.cpuUsage(before);
  return {
    inFlight,
    bytesPerRequest,
    microsecondsPerRequest: (used.user + used.system) / REQUEST_COUNT,
  };
}

function completeRequest(
  steering: Steering,
  name: string,
  nowMs: number,
): void {
  for (const action of startRequest(steering, name, nowMs)) {
    if (action.kind !== 'send-attempt') {
      continue;
    }
    const {request, attempt} = action;
    const time = {nowMs, wallMs: nowMs};
    steering.step({kind: 'attempt-sent', request, attempt}, time);
    steering.step(
      {kind: 'attempt-answering', request, attempt, status: 200},
      time,
    );
    const result = {kind: 'answered', status: 200} as const;
    steering.step({kind: 'attempt-finished', request, attempt, result}, time);
  }
}

function startRequest(
  steering: Steering,
  name: string,
  nowMs: number,
): readonly SteeringAction[] {
  const request: RequestMetadata = {
    id: requestId(name),
    workspace: workspaceName('ceoltoiri-eadai-trust'),
    service: SERVICE,
    callingTeam: teamName('band-portal'),
    idempotent: true,
    fingerprint: name,
    homeRegion: regionName('region-1'),
    cohort: 1,
    deadlineMs: nowMs + DEADLINE_MS,
  };
  const time = {nowMs, wallMs: nowMs};
  return steering.step({kind: 'request-arrived', request}, time);
}

function createSteeringFor(vm: VmId, configuration: Configuration): Steering {
  const entryVm = configuration.entryVms.get(vm)!;
  const steering = createSteering({
    vm,
    region: entryVm.region,
    zone: entryVm.zone,
    random: createRandomSource(1),
  });
  const time = {nowMs: 0, wallMs: 0};
  steering.step({kind: 'configuration-accepted', configuration}, time);
  steering.step({kind: 'freshness-changed', fresh: true}, time);
  const vms = new Map();
  for (const {id, region, zone} of configuration.entryVms.values()) {
    vms.set(id, {vm: id, region, zone, state: 'live' as const});
  }
  const view = {
    atMs: 0,
    vms,
    silentRegions: new Set<never>(),
    selfDoubt: false,
  };
  steering.step({kind: 'membership-changed', view}, time);
  return steering;
}

function compileScaledConfiguration(size: FleetSize): Configuration {
  return compileConfiguration(
    scaledDocument(size),
    generation(1),
  ).unsafeCoerce();
}

function usedMemoryBytes(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed;
}
