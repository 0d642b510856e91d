/**
 * Measures gateway processes, from outside, while targets or callers send bytes
 * without end: own ends, resident memory, processor time, and how the requests
 * of all callers ended.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TimerService} from '@ibisbeam/library';
import {
  type EndlessAnswer,
  type FleetTarget,
  STAND_IN_BOUNDS,
  pollUntil,
  reserveAddresses,
  startFleetTarget,
  startStandInObjectStore,
} from '@ibisbeam/stand-ins';
import {
  GATEWAY_PROGRAM,
  type GatewayProcess,
  createGatewayProcess,
} from '../gateway_process.js';
import {processorMs, residentMegabytes} from '../process_figures.js';
import {
  type CallerKind,
  type EndlessCall,
  startEndlessCaller,
} from './endless_callers.js';
import {NODE_OPTIONS} from './measure_scenario.js';

export interface EndlessScenario {
  readonly name: string;
  /** What the first two of eight targets send in place of an answer, in turn. */
  readonly answers: readonly (EndlessAnswer | 'none')[];
  readonly callers: readonly CallerGroup[];
}

/** Callers of one kind; every second one calls the second gateway. */
export interface CallerGroup {
  readonly kind: CallerKind;
  readonly count: number;
}

export interface EndlessMeasurement {
  readonly gateways: readonly GatewayMeasurement[];
  readonly calls: readonly EndlessCall[];
}

export interface GatewayMeasurement {
  readonly id: string;
  readonly hasEnded: boolean;
  /** The line of the log that tells why, if it has ended. */
  readonly lastError: string;
  /** Highest resident memory, in megabytes. */
  readonly peak: number;
  /** While the callers sent. */
  readonly processorMs: number;
  readonly log: string;
}

export interface MeasureEndlessOptions {
  readonly scenario: EndlessScenario;
  readonly timers: TimerService;
  /** Gateway program of another build. */
  readonly program?: string;
  /** Default: 8. */
  readonly seconds?: number;
}

const GATEWAYS = 2;
const TARGETS = 8;
const FAULTY_TARGETS = 2;
const STEADY_TARGETS = 2;
const SLOTS = 8;
const WORK_MS = 20;
const ROUTE_TIMEOUT_MS = 3_000;
const MEMORY_MEGABYTES = 350;
const HOST_NAME = 'rooms.example';
const ZONES = {'riga-a': 'riga', 'riga-b': 'riga'};
const ZONE_NAMES = ['riga-a', 'riga-b'] as const;
const PORTS_PER_VM = 3;
const START_TIMEOUT_MS = 10_000;
const SETTLE_MS = 1_000;
const SAMPLE_MS = 50;
const DEFAULT_SECONDS = 8;
const MILLISECONDS_PER_SECOND = 1_000;

export async function measureEndless({
  scenario,
  timers,
  program = GATEWAY_PROGRAM,
  seconds = DEFAULT_SECONDS,
}: MeasureEndlessOptions): Promise<EndlessMeasurement> {
  const folder = mkdtempSync(join(tmpdir(), 'ibisbeam-endless-'));
  const store = await startStandInObjectStore(timers);
  const targets: FleetTarget[] = [];
  const faulty: FleetTarget[] = [];
  for (let index = 0; index < TARGETS + STEADY_TARGETS; index += 1) {
    const target = await startFleetTarget({
      id: `worker-${index}`,
      service: index < TARGETS ? 'rooms' : 'steady',
      zone: ZONE_NAMES[index % ZONE_NAMES.length] ?? 'riga-a',
      slots: SLOTS,
      workMs: WORK_MS,
      timers,
    });
    targets.push(target);
    store.put('servers', target.id, target.entry());
    if (index < FAULTY_TARGETS) {
      faulty.push(target);
    }
  }
  store.put('config', 'main', buildConfiguration());
  const gateways = await createGateways(folder, program, store);
  const peaks = gateways.map(() => 0);
  const processorTimes = gateways.map(() => 0);
  const sampler = timers.every(SAMPLE_MS, sample);
  const calls: EndlessCall[] = [];
  try {
    for (const gateway of gateways) {
      gateway.start();
    }
    for (const gateway of gateways) {
      await waitUntilReady(gateway, timers);
    }
    await timers.sleep(SETTLE_MS);
    const processorBefore = gateways.map(gateway =>
      processorMs(gateway.processId()),
    );
    for (const target of faulty) {
      target.setLastingFaults(scenario.answers);
    }
    const callers = startCallers();
    await timers.sleep(seconds * MILLISECONDS_PER_SECOND);
    await Promise.all(callers.map(caller => caller.stop()));
    sample();
    return {
      gateways: gateways.map((gateway, index) => ({
        id: gateway.id,
        hasEnded: gateway.unexpectedExits() > 0,
        lastError: findLastError(gateway.log()),
        peak: peaks[index] ?? 0,
        processorMs:
          (processorTimes[index] ?? 0) - (processorBefore[index] ?? 0),
        log: gateway.log(),
      })),
      calls,
    };
  } finally {
    sampler.cancel();
    for (const gateway of gateways) {
      gateway.signal('SIGKILL');
    }
    for (const target of targets) {
      await target.close();
    }
    await store.close();
  }

  function startCallers() {
    return scenario.callers.flatMap(({kind, count}) =>
      Array.from({length: count}, (_, index) =>
        startEndlessCaller({
          kind,
          id: `${kind}-${index}`,
          address: (gateways[index % gateways.length] as GatewayProcess).caller,
          hostName: HOST_NAME,
          timers,
          onCall: call => calls.push(call),
        }),
      ),
    );
  }

  /** A process that has ended tells nothing, so that the last figures stay. */
  function sample(): void {
    for (const [index, gateway] of gateways.entries()) {
      const id = gateway.processId();
      peaks[index] = Math.max(
        peaks[index] ?? 0,
        residentMegabytes(id, 'VmHWM'),
      );
      processorTimes[index] = Math.max(
        processorTimes[index] ?? 0,
        processorMs(id),
      );
    }
  }
}

async function createGateways(
  folder: string,
  program: string,
  store: {readonly host: string; readonly port: number},
): Promise<readonly GatewayProcess[]> {
  const {peerPort, vmPorts} = await reservePorts();
  const hosts = Array.from({length: GATEWAYS}, (_, index) => hostOf(index));
  return hosts.map((host, index) => {
    const [front = 0, ready = 0, directory = 0] = vmPorts.slice(
      index * PORTS_PER_VM,
    );
    return createGatewayProcess({
      id: `edge-${index}`,
      folder,
      program,
      nodeOptions: NODE_OPTIONS,
      caller: {host, port: front},
      readiness: {host, port: ready},
      settings: {
        self: {
          node: `edge-${index}`,
          ip: host,
          zone: ZONE_NAMES[index % ZONE_NAMES.length],
          region: 'riga',
          limits: {memory_mb: MEMORY_MEGABYTES},
        },
        network: {
          listen: {
            front: `${host}:${front}`,
            ready: `${host}:${ready}`,
            directory: `${host}:${directory}`,
          },
          internal_ports: [peerPort, peerPort + 1],
          seeds: hosts.map(seed => `${seed}:1`),
          zones: ZONES,
        },
        platform: {
          heartbeat_ms: 1_500,
          platform: {address: `${store.host}:${store.port}`},
        },
        terms: {bounds: STAND_IN_BOUNDS},
      },
      onExit: () => {},
    });
  });
}

/** Ports are reserved at another address, so concurrent measurements differ. */
function hostOf(index: number): string {
  const {pid} = process;
  return `127.${1 + ((pid >> 8) % 250)}.${pid % 256}.${20 + index}`;
}

async function reservePorts(): Promise<{
  readonly peerPort: number;
  readonly vmPorts: readonly number[];
}> {
  for (;;) {
    const addresses = await reserveAddresses(1 + GATEWAYS * PORTS_PER_VM);
    const [peerPort = 0, ...vmPorts] = addresses.map(address =>
      Number(address.split(':')[1]),
    );
    if (!vmPorts.includes(peerPort + 1)) {
      return {peerPort, vmPorts};
    }
  }
}

async function waitUntilReady(
  {readiness}: GatewayProcess,
  timers: TimerService,
): Promise<void> {
  const awaited = 'the gateway to be ready';
  await pollUntil({timers, timeoutMs: START_TIMEOUT_MS, awaited}, async () => {
    try {
      const answer = await fetch(
        `http://${readiness.host}:${readiness.port}/ready`,
      );
      return answer.status === 200;
    } catch {
      return false;
    }
  });
}

function findLastError(log: string): string {
  return log.split('\n').find(line => line.startsWith('FATAL')) ?? '';
}

function buildConfiguration(): Readonly<Record<string, unknown>> {
  const routes = [
    {name: 'rooms', route_type: 'idempotent', service: 'rooms'},
    {name: 'steady', route_type: 'idempotent', service: 'steady'},
    {name: 'order', route_type: 'non_idempotent', service: 'rooms'},
  ];
  return {
    version: 1,
    routes: routes.map(route => ({
      ...route,
      host: HOST_NAME,
      path_prefix: `/${route.name}/`,
      timeout_ms: ROUTE_TIMEOUT_MS,
      target_latency_ms: 200,
      max_attempts: 3,
      sticky: false,
      home_regions: [],
    })),
    services: [
      {name: 'rooms', health_path: '/health'},
      {name: 'steady', health_path: '/health'},
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 2_000_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}
