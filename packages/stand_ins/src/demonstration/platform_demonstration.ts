/** Part of `npm start` that runs the gateway on the users' platform. */
import {request as httpRequest} from 'node:http';
import type {Logger, TimerService} from '@ibisbeam/library';
import {
  type FleetTarget,
  type LocalFleet,
  type LocalGateway,
  startLocalFleet,
  buildTwoRouteConfiguration,
} from '../core/object_platform/index.js';
import type {Reporter} from './reporter.js';

const HOST = 'rooms.example';
const ZONES = {'riga-a': 'riga', 'riga-b': 'riga', 'kurz-a': 'kurzeme'};
const READY_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 20;
const DRAIN_WAIT_MS = 500;

interface Answer {
  readonly status: number;
  readonly body: string;
}

export async function runPlatformDemonstration(
  timers: TimerService,
  log: Logger,
  reporter: Reporter,
): Promise<void> {
  reporter.heading('The gateway on a platform that lists its targets');
  const fleet = await startLocalFleet({timers, log, zones: ZONES});
  try {
    await demonstrate(fleet, timers, reporter);
  } finally {
    await fleet.stop();
  }
}

async function demonstrate(
  fleet: LocalFleet,
  timers: TimerService,
  reporter: Reporter,
): Promise<void> {
  fleet.configure(buildTwoRouteConfiguration(HOST, 1));
  const targets: FleetTarget[] = [];
  for (const [index, zone] of ['riga-a', 'riga-b', 'kurz-a'].entries()) {
    targets.push(
      await fleet.addTarget({
        id: `worker-${index}`,
        service: 'rooms',
        zone,
        slots: 4,
      }),
    );
  }
  const first = await fleet.addGateway('edge-riga-a-1', 'riga-a');
  const second = await fleet.addGateway('edge-riga-b-1', 'riga-b');
  await waitFor(
    timers,
    async () => (await resolveAddresses(first)).length === 2,
  );
  reporter.event('two VMs are ready and the directory lists both');

  const lookUp = await call(first, 'GET', '/rooms/7', 'demo-look-up');
  reporter.check(lookUp.status === 200, 'a look-up is answered');

  for (const target of targets) {
    target.plan('answer-lost');
  }
  const booking = await call(first, 'POST', '/book/7', 'demo-booking');
  const runs = targets.flatMap(target => target.runs);
  const bookings = runs.filter(run => run.attemptId === 'demo-booking');
  reporter.event(
    `a booking whose response was lost got status ${booking.status}`,
  );
  reporter.reason(
    'it may have run, so it is neither resent nor reported as not run',
  );
  reporter.check(bookings.length === 1, 'the booking has run once');

  const [leaving] = targets;
  if (leaving) {
    const entry = leaving.entry({state: 'draining'});
    fleet.store.put('servers', leaving.id, entry);
    await timers.sleep(DRAIN_WAIT_MS);
    const before = leaving.runs.length;
    for (let index = 0; index < 10; index += 1) {
      await call(first, 'GET', `/rooms/${index}`, `demo-drain-${index}`);
    }
    reporter.check(
      leaving.runs.length === before,
      'a draining target receives no new requests',
    );
  }

  await second.gateway.stop();
  const remaining = await resolveAddresses(first);
  reporter.check(remaining.length === 1, 'a stopped VM is no longer listed');
}

async function resolveAddresses(
  gateway: LocalGateway,
): Promise<readonly string[]> {
  const path = `/resolve?name=${HOST}&region=riga&zone=riga-a`;
  const answer = await sendRequest(gateway.directory, 'GET', path, {});
  if (answer.status !== 200) {
    return [];
  }
  const {addresses} = JSON.parse(answer.body) as {addresses: string[]};
  return addresses;
}

function call(
  gateway: LocalGateway,
  method: string,
  path: string,
  attemptId: string,
): Promise<Answer> {
  return sendRequest(gateway.caller, method, path, {
    Host: HOST,
    'X-Ibisbeam-Attempt-Id': attemptId,
    'X-Ibisbeam-Deadline-Ms': '1200',
  });
}

function sendRequest(
  address: {readonly host: string; readonly port: number},
  method: string,
  path: string,
  headers: Readonly<Record<string, string>>,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const outgoing = httpRequest(
      {...address, method, path, headers, agent: false},
      incoming => {
        const chunks: Buffer[] = [];
        incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
        incoming.on('error', reject);
        incoming.on('end', () =>
          resolve({
            status: incoming.statusCode ?? 0,
            body: Buffer.concat(chunks).toString('utf8'),
          }),
        );
      },
    );
    outgoing.on('error', reject);
    outgoing.end();
  });
}

async function waitFor(
  timers: TimerService,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadlineMs = timers.nowMs() + READY_TIMEOUT_MS;
  while (!(await condition())) {
    if (timers.nowMs() > deadlineMs) {
      throw new Error(
        `the fleet did not become ready within ${READY_TIMEOUT_MS} ms`,
      );
    }
    await timers.sleep(POLL_INTERVAL_MS);
  }
}
