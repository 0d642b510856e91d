/** Slots, state and processor time of the steering of one VM. */
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
const REQUESTS = 20_000;
const DEADLINE_MS = 10_000;

export interface ShareFigures {
  readonly vms: number;
  /** Slots that all VMs together own, as a part of the region's slots. */
  readonly ownedFraction: number;
  /** Most slots of any target that the VMs own together, against its own. */
  readonly mostOverSlots: number;
  readonly smallestShare: number;
  readonly holders: number;
}

/** How one region's slots divide over its VMs. */
export function measureShares(size: FleetSize): ShareFigures {
  const configuration = configurationOf(size);
  const home = regionName('region-1');
  const vms = [...configuration.entryVms.values()].filter(
    vm => vm.region === home,
  );
  const targets = configuration.services.get(SERVICE)!.targets;
  const own = targets.filter(target => target.region === home);
  const slots = own.reduce((sum, target) => sum + target.slots, 0);
  const owned: number[] = [];
  for (const vm of vms) {
    const steering = steeringOf(vm.id, configuration);
    const {pools} = steering.status({nowMs: 0, wallMs: 0});
    const pool = pools.find(one => one.service === SERVICE);
    owned.push(pool?.ownedSlots ?? 0);
  }
  const holders = owned.filter(share => share > 0);
  const sum = owned.reduce((total, share) => total + share, 0);
  return {
    vms: vms.length,
    ownedFraction: sum / slots,
    mostOverSlots: Math.max(0, sum - slots),
    smallestShare: Math.min(...holders),
    holders: holders.length,
  };
}

export interface ForwardingFigures {
  readonly inFlight: number;
  readonly bytesPerRequest: number;
  /** From arrival to answer, all steps. */
  readonly microsecondsPerRequest: number;
}

/** Requests that run at once on one VM. */
export function measureForwarding(
  inFlight: number,
  size: FleetSize,
): ForwardingFigures {
  const configuration = configurationOf(size);
  const vm = [...configuration.entryVms.keys()][0]!;
  const steering = steeringOf(vm, configuration);
  const memoryBefore = memoryInUse();
  for (let index = 0; index < inFlight; index += 1) {
    arrive(steering, `held-${index}`, 1);
  }
  const bytesPerRequest = (memoryInUse() - memoryBefore) / inFlight;
  const fresh = steeringOf(vm, configuration);
  const before = process.cpuUsage();
  for (let index = 0; index < REQUESTS; index += 1) {
    runThrough(fresh, `request-${index}`, 2 + index);
  }
  const used = process.cpuUsage(before);
  return {
    inFlight,
    bytesPerRequest,
    microsecondsPerRequest: (used.user + used.system) / REQUESTS,
  };
}

function runThrough(steering: Steering, name: string, nowMs: number): void {
  for (const action of arrive(steering, name, nowMs)) {
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

function arrive(
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

function steeringOf(vm: VmId, configuration: Configuration): Steering {
  const place = configuration.entryVms.get(vm)!;
  const steering = createSteering({
    vm,
    region: place.region,
    zone: place.zone,
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

function configurationOf(size: FleetSize): Configuration {
  return compileConfiguration(
    scaledDocument(size),
    generation(1),
  ).unsafeCoerce();
}

function memoryInUse(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed;
}
