/**
 * Measures what callers get while a third of a pool asks for a pause of 3 s,
 * and while a third leaves without telling the store, with all VMs in one
 * process on loopback:
 * `node packages/stand_ins/dist/test/object_platform/measure_availability.js`.
 */
import {
  createKeyValueLogger,
  createSystemTimerService,
} from '@ibisbeam/library';
import {
  type FleetTarget,
  type LocalGateway,
  startLocalFleet,
} from '../../src/index.js';
import {call, createConfiguration, isReady} from './harness.js';

const ZONES = {'riga-a': 'riga', 'riga-b': 'riga', 'kurz-a': 'kurzeme'};
const ZONE_NAMES = Object.keys(ZONES);
const VMS = 6;
const TARGETS = 12;
const RESTRICTED_TARGETS = 4;
const SLOTS = 4;
const WORK_MS = 100;
const REQUESTS_PER_SECOND = 240;
const AFFINITY_KEYS = 200;
const SETTLED_MS = 3_000;
const PAUSE_MS = 3_000;
/** Time from the first answer that says so to the exit of a leaving target. */
const LEAVING_MS = 3_000;
const AFTER_MS = 2_000;
const POLL_MS = 100;

interface Result {
  readonly status: number;
  readonly tookMs: number;
}

const timers = createSystemTimerService();
const log = createKeyValueLogger({level: 'error', fields: {}, write: () => {}});
const fleet = await startLocalFleet({timers, log, zones: ZONES});
fleet.configure(createConfiguration(1));

async function startTargets(name: string): Promise<readonly FleetTarget[]> {
  const targets: FleetTarget[] = [];
  for (let index = 0; index < TARGETS; index += 1) {
    targets.push(
      await fleet.addTarget({
        id: `${name}-${index}`,
        service: 'availability',
        zone: ZONE_NAMES[index % ZONE_NAMES.length] ?? 'riga-a',
        slots: SLOTS,
        workMs: WORK_MS,
      }),
    );
  }
  return targets;
}

const targets = await startTargets('i');
const vms: LocalGateway[] = [];
for (let index = 0; index < VMS; index += 1) {
  const zone = ZONE_NAMES[index % ZONE_NAMES.length] ?? 'riga-a';
  vms.push(await fleet.addGateway(`edge-${index}`, zone));
}
for (const vm of vms) {
  while (!(await isReady(vm))) {
    await timers.sleep(POLL_MS);
  }
}

/** Sends requests at a steady rate, all VMs in turn. */
async function sendFor(spanMs: number): Promise<readonly Result[]> {
  const calls: Promise<Result>[] = [];
  const beganMs = timers.nowMs();
  while (timers.nowMs() < beganMs + spanMs) {
    const due = ((timers.nowMs() - beganMs) * REQUESTS_PER_SECOND) / 1_000;
    while (calls.length < due) {
      const vm = vms[calls.length % vms.length];
      if (vm) {
        calls.push(sendOne(vm, String(calls.length % AFFINITY_KEYS)));
      }
    }
    await timers.sleep(1);
  }
  return Promise.all(calls);
}

async function sendOne(vm: LocalGateway, key: string): Promise<Result> {
  const sentMs = timers.nowMs();
  const {status} = await call(vm, {key});
  return {status, tookMs: timers.nowMs() - sentMs};
}

function describe(results: readonly Result[]): string {
  const counts = new Map<number, number>();
  for (const {status} of results) {
    counts.set(status, (counts.get(status) ?? 0) + 1);
  }
  const served = results.filter(({status}) => status === 200);
  const times = served.map(({tookMs}) => tookMs).sort((a, b) => a - b);
  const percentile = (part: number): number =>
    Math.round(times[Math.floor(times.length * part)] ?? NaN);
  const share = ((100 * served.length) / results.length).toFixed(2);
  const statuses = [...counts]
    .map(([status, count]) => `${count} with ${status}`)
    .join(', ');
  return `${share} % served (${statuses}), half in ${percentile(0.5)} ms, 99 % in ${percentile(0.99)} ms`;
}

function countArrivals(some: readonly FleetTarget[]): number {
  return some.reduce((sum, target) => sum + target.arrivals.length, 0);
}

function report(phase: string, arrivals: number, results: readonly Result[]) {
  process.stdout.write(
    `${phase}: ${describe(results)}; ${arrivals} requests reached the targets concerned\n`,
  );
}

await sendFor(SETTLED_MS);
const restricted = targets.slice(0, RESTRICTED_TARGETS);
report('calm', 0, await sendFor(SETTLED_MS));

let before = countArrivals(restricted);
for (const target of restricted) {
  target.pauseFor(PAUSE_MS);
}
const paused = await sendFor(PAUSE_MS);
report('pause', countArrivals(restricted) - before, paused);
report('after the pause', 0, await sendFor(AFTER_MS));

before = countArrivals(restricted);
for (const target of restricted) {
  target.setLeaving(true);
}
const leaving = sendFor(LEAVING_MS + AFTER_MS);
await timers.sleep(LEAVING_MS);
const arrived = countArrivals(restricted) - before;
for (const target of restricted) {
  await target.close();
}
report('leaving and exit', arrived, await leaving);
process.exit(0);
