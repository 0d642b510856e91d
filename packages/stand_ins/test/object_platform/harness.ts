/** A loopback fleet with a look-up, a booking and a pack route. */
import {request as httpRequest} from 'node:http';
import {
  createKeyValueLogger,
  createSystemTimerService,
} from '@ibisbeam/library';
import {
  type FleetTarget,
  type LocalFleet,
  type LocalGateway,
  startLocalFleet,
} from '../../src/index.js';

export const HOST = 'rooms.example';

const WAIT_TIMEOUT_MS = 5_000;

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
  settings: Readonly<Record<string, unknown>> = {},
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
    settings,
  });
  try {
    return await populateFleet(fleet, targetOptions, targetCount, logLines);
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
  return {fleet, gateway, targets, logLines, stop: fleet.stop};
}

export async function isReady(gateway: LocalGateway): Promise<boolean> {
  const answer = await get(gateway.readiness, '/ready');
  return answer.status === 200;
}

/** Polls the condition; rejects if it does not hold within 5 s. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadlineMs = timers.nowMs() + WAIT_TIMEOUT_MS;
  while (!(await condition())) {
    if (timers.nowMs() > deadlineMs) {
      throw new Error(`condition not met within ${WAIT_TIMEOUT_MS} ms`);
    }
    await timers.sleep(10);
  }
}

export function get(
  address: {readonly host: string; readonly port: number},
  path: string,
): Promise<Answer> {
  return exchange(address, path, 'GET', {}, undefined, undefined);
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
  return exchange(
    gateway.caller,
    options.path ?? '/rooms/1',
    options.method ?? 'GET',
    headers,
    options.body,
    options.abortAfterMs,
  );
}

function exchange(
  address: {readonly host: string; readonly port: number},
  path: string,
  method: string,
  headers: Readonly<Record<string, string>>,
  body: string | undefined,
  abortAfterMs: number | undefined,
): Promise<Answer> {
  return new Promise(resolve => {
    const clientRequest = httpRequest({
      host: address.host,
      port: address.port,
      path,
      method,
      headers,
      agent: false,
    });
    const noAnswer: Answer = {
      status: 0,
      headers: {},
      body: '',
      complete: false,
    };
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
    clientRequest.end(body);
    if (abortAfterMs !== undefined) {
      timers.after(abortAfterMs, () => clientRequest.destroy());
    }
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
