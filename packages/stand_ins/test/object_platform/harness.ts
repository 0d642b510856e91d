/** A loopback fleet with a look-up, a booking and a pack route. */
import {type ClientRequest, request as httpRequest} from 'node:http';
import {
  createKeyValueLogger,
  createSystemTimerService,
  readAllHeaderLines,
} from '@ibisbeam/library';
import {
  type FleetTarget,
  type LocalFleet,
  type LocalGateway,
  pollUntil,
  settleWithin,
  startLocalFleet,
} from '../../src/index.js';

export const HOST = 'rooms.example';

const START_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 20_000;
const WAIT_TIMEOUT_MS = 5_000;
/** Longer than any deadline or bound of a gateway. */
const ANSWER_TIMEOUT_MS = 10_000;

export interface Answer {
  /** 0 if the connection ended without an answer. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the body was received up to its end. */
  readonly complete: boolean;
}

export interface CallOptions {
  readonly method?: string;
  readonly path?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly attemptId?: string;
  readonly deadlineMs?: number;
  readonly key?: string;
  /** Address that the client connects from. */
  readonly clientAddress?: string;
  /** Aborts the request after this time. */
  readonly abortAfterMs?: number;
}

export const timers = createSystemTimerService();

export interface Harness {
  readonly fleet: LocalFleet;
  readonly gateway: LocalGateway;
  readonly targets: readonly FleetTarget[];
  readonly logLines: readonly string[];
  stop(): Promise<void>;
}

export const REGION_BY_ZONE = {
  'riga-a': 'riga',
  'riga-b': 'riga',
  'kurz-a': 'kurzeme',
};

export function createConfiguration(
  version: number,
  overrides: Readonly<Record<string, unknown>> = {},
): Record<string, unknown> {
  const commonFields = {
    host: HOST,
    timeout_ms: 1_000,
    target_latency_ms: 200,
    priority: 1,
    max_attempts: 2,
    sticky: true,
    home_regions: [],
  };
  return {
    version,
    routes: [
      {
        ...commonFields,
        name: 'look-up',
        path_prefix: '/rooms/',
        route_type: 'idempotent',
        service: 'availability',
      },
      {
        ...commonFields,
        name: 'booking',
        path_prefix: '/book/',
        route_type: 'non_idempotent',
        service: 'availability',
      },
      {
        ...commonFields,
        name: 'pack',
        path_prefix: '/packs/',
        route_type: 'download',
        service: 'availability',
      },
    ],
    services: [
      {
        name: 'availability',
        health_path: '/health',
        max_connections: 100,
        cold_start_s: 3,
        cold_per_s: 19,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 100_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    ...overrides,
  };
}

export async function startHarness(
  targetOptions: Partial<Parameters<LocalFleet['addTarget']>[0]> = {},
  targetCount = 2,
  fleetOptions: Partial<Parameters<typeof startLocalFleet>[0]> = {},
): Promise<Harness> {
  const logLines: string[] = [];
  const log = createKeyValueLogger({
    level: 'info',
    fields: {},
    write: line => logLines.push(line),
  });
  const fleet = await startLocalFleet({
    timers,
    log,
    zones: REGION_BY_ZONE,
    ...fleetOptions,
  });
  try {
    return await settleWithin(
      {timers, timeoutMs: START_TIMEOUT_MS, awaited: 'the fleet to start'},
      populateFleet(fleet, targetOptions, targetCount, logLines),
    );
  } catch (error) {
    // Open listeners would keep the test process alive.
    await fleet.stop();
    throw error;
  }
}

async function populateFleet(
  fleet: LocalFleet,
  targetOptions: Partial<Parameters<LocalFleet['addTarget']>[0]>,
  targetCount: number,
  logLines: readonly string[],
): Promise<Harness> {
  fleet.configure(createConfiguration(1));
  const targets: FleetTarget[] = [];
  for (let index = 0; index < targetCount; index += 1) {
    targets.push(
      await fleet.addTarget({
        id: `i-${index}`,
        service: 'availability',
        zone: 'riga-a',
        slots: 4,
        ...targetOptions,
      }),
    );
  }
  const gateway = await fleet.addGateway('edge-riga-a-1', 'riga-a');
  await waitUntil(() => isReady(gateway));
  const wait = {
    timers,
    timeoutMs: STOP_TIMEOUT_MS,
    awaited: 'the fleet to stop',
  };
  const stop = () => settleWithin(wait, fleet.stop());
  return {fleet, gateway, targets, logLines, stop};
}

export async function isReady(gateway: LocalGateway): Promise<boolean> {
  const answer = await get(gateway.readiness, '/ready');
  return answer.status === 200;
}

/** Polls the condition; rejects if it does not hold within 5 s. */
export function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const awaited = String(condition);
  return pollUntil({timers, timeoutMs: WAIT_TIMEOUT_MS, awaited}, condition);
}

export function get(
  address: {readonly host: string; readonly port: number},
  path: string,
  timeoutMs = ANSWER_TIMEOUT_MS,
): Promise<Answer> {
  return exchange({address, path, method: 'GET', headers: {}, timeoutMs});
}

let attemptCount = 0;

export function call(
  gateway: LocalGateway,
  options: CallOptions = {},
): Promise<Answer> {
  attemptCount += 1;
  const headers: Record<string, string> = {
    Host: HOST,
    'X-Ibisbeam-Attempt-Id': options.attemptId ?? `attempt-${attemptCount}`,
    'X-Ibisbeam-Deadline-Ms': String(options.deadlineMs ?? 1_200),
    ...options.headers,
  };
  if (options.key !== undefined) {
    headers['X-Ibisbeam-Affinity-Key'] = options.key;
  }
  return exchange({
    address: gateway.caller,
    path: options.path ?? '/rooms/1',
    method: options.method ?? 'GET',
    headers,
    body: options.body,
    clientAddress: options.clientAddress,
    abortAfterMs: options.abortAfterMs,
    timeoutMs: ANSWER_TIMEOUT_MS,
  });
}

interface Exchange {
  readonly address: {readonly host: string; readonly port: number};
  readonly path: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string | undefined;
  readonly clientAddress?: string | undefined;
  readonly abortAfterMs?: number | undefined;
  readonly timeoutMs: number;
}

async function exchange(options: Exchange): Promise<Answer> {
  const {address, path, method, headers, timeoutMs} = options;
  const clientRequest = httpRequest({
    host: address.host,
    port: address.port,
    path,
    method,
    headers,
    localAddress: options.clientAddress,
    agent: false,
  });
  const answer = answerTo(readAllHeaderLines(clientRequest));
  clientRequest.end(options.body);
  if (options.abortAfterMs !== undefined) {
    timers.after(options.abortAfterMs, () => clientRequest.destroy());
  }
  const awaited = `the answer to ${method} ${path}`;
  try {
    return await settleWithin({timers, timeoutMs, awaited}, answer);
  } catch (error) {
    clientRequest.destroy();
    throw error;
  }
}

function answerTo(clientRequest: ClientRequest): Promise<Answer> {
  const noAnswer: Answer = {status: 0, headers: {}, body: '', complete: false};
  return new Promise(resolve => {
    clientRequest.on('error', () => resolve(noAnswer));
    clientRequest.on('response', response => {
      const chunks: Buffer[] = [];
      const finish = (): void =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('utf8'),
          complete: response.complete,
        });
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', finish);
      response.on('close', finish);
    });
  });
}

/** Counts runs on all targets, of one attempt if its identifier is given. */
export function countRuns(harness: Harness, attemptId?: string): number {
  let runs = 0;
  for (const target of harness.targets) {
    for (const run of target.runs) {
      if (attemptId === undefined || run.attemptId === attemptId) {
        runs += 1;
      }
    }
  }
  return runs;
}

export function countLogLines(harness: Harness, pattern: RegExp): number {
  return harness.logLines.filter(line => pattern.test(line)).length;
}
