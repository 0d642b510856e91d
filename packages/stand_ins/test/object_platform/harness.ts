/** A loopback fleet with one look-up, one booking and one pack route. */
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

export interface Answer {
  /** 0 where the connection ended without an answer. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** The body came to its proper end. */
  readonly whole: boolean;
}

export interface CallOptions {
  readonly method?: string;
  readonly path?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly attemptId?: string;
  readonly deadlineMs?: number;
  readonly key?: string;
  /** Leaves after so many milliseconds. */
  readonly leaveAfterMs?: number;
}

export const timers = createSystemTimerService();

export interface Harness {
  readonly fleet: LocalFleet;
  readonly gateway: LocalGateway;
  readonly targets: readonly FleetTarget[];
  readonly logLines: readonly string[];
  stop(): Promise<void>;
}

export const ZONES = {
  'riga-a': 'riga',
  'riga-b': 'riga',
  'kurz-a': 'kurzeme',
};

export function configuration(
  version: number,
  changes: Readonly<Record<string, unknown>> = {},
): Record<string, unknown> {
  const common = {
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
        ...common,
        name: 'look-up',
        path_prefix: '/rooms/',
        route_type: 'idempotent',
        service: 'availability',
      },
      {
        ...common,
        name: 'booking',
        path_prefix: '/book/',
        route_type: 'non_idempotent',
        service: 'availability',
      },
      {
        ...common,
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
    ...changes,
  };
}

export async function startHarness(
  targetOptions: Partial<Parameters<LocalFleet['addTarget']>[0]> = {},
  targetCount = 2,
): Promise<Harness> {
  const logLines: string[] = [];
  const log = createKeyValueLogger({
    level: 'info',
    fields: {},
    write: line => logLines.push(line),
  });
  const fleet = await startLocalFleet({timers, log, zones: ZONES});
  try {
    return await fillFleet(fleet, targetOptions, targetCount, logLines);
  } catch (error) {
    // Listeners that stay open would keep the test's process from ending.
    await fleet.stop();
    throw error;
  }
}

async function fillFleet(
  fleet: LocalFleet,
  targetOptions: Partial<Parameters<LocalFleet['addTarget']>[0]>,
  targetCount: number,
  logLines: readonly string[],
): Promise<Harness> {
  fleet.configure(configuration(1));
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
  await until(() => isReady(gateway));
  return {fleet, gateway, targets, logLines, stop: fleet.stop};
}

export async function isReady(gateway: LocalGateway): Promise<boolean> {
  const answer = await get(gateway.readiness, '/ready');
  return answer.status === 200;
}

/** Waits for a condition; fails after five seconds. */
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const endsMs = timers.nowMs() + 5_000;
  while (!(await condition())) {
    if (timers.nowMs() > endsMs) {
      throw new Error('the condition did not come true within 5 s');
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

let lastAttempt = 0;

export function call(
  gateway: LocalGateway,
  options: CallOptions = {},
): Promise<Answer> {
  lastAttempt += 1;
  const headers: Record<string, string> = {
    Host: HOST,
    'X-Ibisbeam-Attempt-Id': options.attemptId ?? `attempt-${lastAttempt}`,
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
    options.leaveAfterMs,
  );
}

function exchange(
  address: {readonly host: string; readonly port: number},
  path: string,
  method: string,
  headers: Readonly<Record<string, string>>,
  body: string | undefined,
  leaveAfterMs: number | undefined,
): Promise<Answer> {
  return new Promise(resolve => {
    const outgoing = httpRequest({
      host: address.host,
      port: address.port,
      path,
      method,
      headers,
      agent: false,
    });
    const broken: Answer = {status: 0, headers: {}, body: '', whole: false};
    outgoing.on('error', () => resolve(broken));
    outgoing.on('response', incoming => {
      const chunks: Buffer[] = [];
      const finish = (): void =>
        resolve({
          status: incoming.statusCode ?? 0,
          headers: incoming.headers,
          body: Buffer.concat(chunks).toString('utf8'),
          whole: incoming.complete,
        });
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
      incoming.on('error', finish);
      incoming.on('close', finish);
    });
    outgoing.end(body);
    if (leaveAfterMs !== undefined) {
      timers.after(leaveAfterMs, () => outgoing.destroy());
    }
  });
}

/** Runs over all targets. */
export function runsOf(harness: Harness, attemptId?: string): number {
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
