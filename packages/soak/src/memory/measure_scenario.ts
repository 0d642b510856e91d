/**
 * Measures the resident memory of a gateway process, from outside, while
 * callers make it hold bytes for them.
 */
import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TimerService} from '@ibisbeam/library';
import {
  STAND_IN_BOUNDS,
  reserveAddresses,
  startStandInObjectStore,
} from '@ibisbeam/stand-ins';
import {GATEWAY_PROGRAM, createGatewayProcess} from '../gateway_process.js';
import {processorMs, residentMegabytes} from '../process_figures.js';
import {
  type AheadCaller,
  type AheadRequest,
  startAheadCaller,
} from './ahead_caller.js';
import {type BulkTarget, startBulkTarget} from './bulk_target.js';

export interface MemoryScenario {
  readonly name: string;
  readonly callers: number;
  /** Sent by each caller on one connection. */
  readonly requests: readonly AheadRequest[];
  readonly readsAfterMs: number;
}

export interface MemoryMeasurement {
  /** Resident memory of the process, in megabytes. */
  readonly before: number;
  readonly peak: number;
  /** After the callers have left. */
  readonly after: number;
  readonly requests: number;
  /** Number of answers by status; 0 for requests without a complete answer. */
  readonly answersByStatus: ReadonlyMap<number, number>;
  /** Whether each caller got its answers in the order of its requests. */
  readonly inOrder: boolean;
  /** Requests that targets have got. */
  readonly runs: number;
  readonly tookMs: number;
  readonly hasEnded: boolean;
  readonly logLines: readonly string[];
  readonly processorMs: number;
}

export interface MeasureOptions {
  readonly scenario: MemoryScenario;
  readonly memoryMegabytes: number;
  readonly timers: TimerService;
  readonly program?: string;
}

/** As in `deploy/system.toml`. */
export const NODE_OPTIONS = [
  '--max-old-space-size=220',
  '--single-threaded',
  '--max-semi-space-size=16',
];
const HOST_NAME = 'rooms.example';
/** Ports are reserved at another address, so concurrent measurements differ. */
const HOST = `127.${1 + ((process.pid >> 8) % 250)}.${process.pid % 256}.9`;
const ZONE = 'riga-a';
const START_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 50;
/** Longer than any deadline. */
const ANSWERS_TIMEOUT_MS = 40_000;
const DEADLINE_MS = 30_000;
const SETTLE_MS = 1_000;
const RETURN_MS = 5_000;
const SLOW_WORK_MS = 4_000;
const QUICK_WORK_MS = 20;
const QUICK_ANSWER_BYTES = 200_000;
const PACK_ANSWER_BYTES = 540_000;
const SLOTS = 500;

const SERVICES = [
  {
    name: 'slow',
    kind: 'idempotent',
    workMs: SLOW_WORK_MS,
    answerBytes: QUICK_ANSWER_BYTES,
  },
  {
    name: 'quick',
    kind: 'idempotent',
    workMs: QUICK_WORK_MS,
    answerBytes: QUICK_ANSWER_BYTES,
  },
  {
    name: 'order',
    kind: 'non_idempotent',
    workMs: QUICK_WORK_MS,
    answerBytes: 100,
  },
  {
    name: 'pack',
    kind: 'download',
    workMs: QUICK_WORK_MS,
    answerBytes: PACK_ANSWER_BYTES,
  },
] as const;

export async function measureScenario({
  scenario,
  memoryMegabytes,
  timers,
  program = GATEWAY_PROGRAM,
}: MeasureOptions): Promise<MemoryMeasurement> {
  const folder = mkdtempSync(join(tmpdir(), 'ibisbeam-memory-'));
  const store = await startStandInObjectStore(timers);
  const targets: BulkTarget[] = [];
  for (const {name, workMs, answerBytes} of SERVICES) {
    const id = `worker-${name}`;
    const target = await startBulkTarget({
      id,
      service: name,
      zone: ZONE,
      slots: SLOTS,
      workMs,
      answerBytes,
      timers,
    });
    targets.push(target);
    store.put('servers', id, target.entry);
  }
  store.put('config', 'main', buildConfiguration());
  const ports = await reservePorts();
  const gateway = createGatewayProcess({
    id: 'edge-0',
    folder,
    program,
    nodeOptions: NODE_OPTIONS,
    caller: {host: HOST, port: ports.front},
    readiness: {host: HOST, port: ports.ready},
    settings: {
      self: {
        node: 'edge-0',
        ip: HOST,
        zone: ZONE,
        region: 'riga',
        limits: {memory_mb: memoryMegabytes},
      },
      network: {
        listen: {
          front: `${HOST}:${ports.front}`,
          ready: `${HOST}:${ports.ready}`,
          directory: `${HOST}:${ports.directory}`,
        },
        internal_ports: [ports.peers, ports.peers + 1],
        seeds: [],
        zones: {[ZONE]: 'riga'},
      },
      platform: {
        heartbeat_ms: 1_500,
        platform: {address: `${store.host}:${store.port}`},
      },
      terms: {bounds: STAND_IN_BOUNDS},
    },
    onExit: () => {},
  });
  const callers: AheadCaller[] = [];
  try {
    gateway.start();
    await waitUntilReady();
    await timers.sleep(SETTLE_MS);
    const before = residentMegabytes(gateway.processId(), 'VmRSS');
    const startedMs = timers.nowMs();
    for (let index = 0; index < scenario.callers; index += 1) {
      callers.push(
        startAheadCaller({
          id: `c${index}`,
          address: gateway.caller,
          hostName: HOST_NAME,
          requests: scenario.requests,
          deadlineMs: DEADLINE_MS,
          readsAfterMs: scenario.readsAfterMs,
          timers,
        }),
      );
    }
    while (
      gateway.isRunning() &&
      timers.nowMs() - startedMs < ANSWERS_TIMEOUT_MS &&
      !callers.every(isServed)
    ) {
      await timers.sleep(POLL_INTERVAL_MS);
    }
    const tookMs = timers.nowMs() - startedMs;
    for (const caller of callers) {
      caller.leave();
    }
    await timers.sleep(RETURN_MS);
    return {
      before,
      peak: residentMegabytes(gateway.processId(), 'VmHWM'),
      after: residentMegabytes(gateway.processId(), 'VmRSS'),
      requests: scenario.callers * scenario.requests.length,
      answersByStatus: countAnswers(callers),
      inOrder: callers.every(isInOrder),
      runs: targets.reduce((sum, target) => sum + target.runs(), 0),
      tookMs,
      hasEnded: !gateway.isRunning(),
      logLines: readFileSync(join(folder, 'edge-0.log'), 'utf8').split('\n'),
      processorMs: processorMs(gateway.processId()),
    };
  } finally {
    for (const caller of callers) {
      caller.leave();
    }
    gateway.signal('SIGKILL');
    for (const target of targets) {
      target.close();
    }
    await store.close();
  }

  async function waitUntilReady(): Promise<void> {
    const deadlineMs = timers.nowMs() + START_TIMEOUT_MS;
    while (!(await isReady())) {
      if (timers.nowMs() > deadlineMs) {
        throw new Error(`the gateway does not serve; logs: ${folder}`);
      }
      await timers.sleep(POLL_INTERVAL_MS);
    }
  }

  async function isReady(): Promise<boolean> {
    try {
      const answer = await fetch(`http://${HOST}:${ports.ready}/ready`);
      return answer.status === 200;
    } catch {
      return false;
    }
  }
}

interface VmPorts {
  readonly front: number;
  readonly ready: number;
  readonly directory: number;
  /** The next one is free too. */
  readonly peers: number;
}

async function reservePorts(): Promise<VmPorts> {
  for (;;) {
    const addresses = await reserveAddresses(4);
    const [front = 0, ready = 0, directory = 0, peers = 0] = addresses.map(
      address => Number(address.split(':')[1]),
    );
    if (![front, ready, directory].includes(peers + 1)) {
      return {front, ready, directory, peers};
    }
  }
}

function buildConfiguration(): Readonly<Record<string, unknown>> {
  return {
    version: 1,
    routes: SERVICES.map(({name, kind}) => ({
      host: HOST_NAME,
      timeout_ms: DEADLINE_MS,
      target_latency_ms: 8_000,
      max_attempts: 1,
      sticky: false,
      home_regions: [],
      name,
      path_prefix: `/${name}/`,
      route_type: kind,
      service: name,
    })),
    services: SERVICES.map(({name}) => ({
      name,
      health_path: '/health',
      max_connections: SLOTS,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

function isServed({answers, attemptIds, isClosed}: AheadCaller): boolean {
  return isClosed() || answers.length === attemptIds.length;
}

/** The VM's own refusals name no attempt. */
function isInOrder({answers, attemptIds}: AheadCaller): boolean {
  return answers.every(
    ({attemptId}, index) => attemptId === '' || attemptId === attemptIds[index],
  );
}

function countAnswers(
  callers: readonly AheadCaller[],
): ReadonlyMap<number, number> {
  const counts = new Map<number, number>();
  for (const {answers, attemptIds} of callers) {
    for (const {status} of answers) {
      counts.set(status, (counts.get(status) ?? 0) + 1);
    }
    const unanswered = attemptIds.length - answers.length;
    if (unanswered > 0) {
      counts.set(0, (counts.get(0) ?? 0) + unanswered);
    }
  }
  return counts;
}
