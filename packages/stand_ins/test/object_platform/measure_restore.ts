/**
 * Measures a store that comes back from an older copy, with all VMs in one
 * process on loopback:
 * `node packages/stand_ins/dist/test/object_platform/measure_restore.js VMS`.
 */
import {
  createKeyValueLogger,
  createSystemTimerService,
} from '@ibisbeam/library';
import {
  type LocalFleet,
  type LocalGateway,
  startLocalFleet,
} from '../../src/index.js';
import {call, createConfiguration, isReady, waitUntil} from './harness.js';

const ZONES = {
  'riga-a': 'riga',
  'riga-b': 'riga',
  'kurz-a': 'kurzeme',
  'kurz-b': 'kurzeme',
  'latg-a': 'latgale',
  'latg-b': 'latgale',
};
const ZONE_NAMES = Object.keys(ZONES);
const DEFAULT_VM_COUNT = 7;
const TARGETS_IN_COPY = 40;
const TARGETS_SINCE = 10;
const REQUESTS_PER_SECOND = 200;
const AFFINITY_KEYS = 60;
/** Longer than withheld entries are kept back. */
const OBSERVED_MS = 8_000;
const SETTLED_MS = 3_000;
const SAMPLE_MS = 100;
const SAMPLES_PER_SECOND = 10;

const vmCount = Number(process.argv[2] ?? DEFAULT_VM_COUNT);
const timers = createSystemTimerService();
const restoredAtMs: number[] = [];
let targetChanges = 0;
const log = createKeyValueLogger({
  level: 'info',
  fields: {},
  write: line => {
    if (line.includes('event=store-restored')) {
      restoredAtMs.push(timers.nowMs());
    }
    targetChanges += /event=target-(added|removed)/.test(line) ? 1 : 0;
  },
});

async function addTarget(fleet: LocalFleet, index: number): Promise<void> {
  await fleet.addTarget({
    id: `i-${index}`,
    service: 'availability',
    zone: ZONE_NAMES[index % ZONE_NAMES.length] ?? 'riga-a',
    slots: 6,
  });
}

async function startVms(fleet: LocalFleet): Promise<readonly LocalGateway[]> {
  const vms: LocalGateway[] = [];
  for (let index = 0; index < vmCount; index += 1) {
    const zone = ZONE_NAMES[index % ZONE_NAMES.length] ?? 'riga-a';
    vms.push(await fleet.addGateway(`edge-${index}`, zone));
  }
  for (const vm of vms) {
    await waitUntil(() => isReady(vm));
  }
  await timers.sleep(SETTLED_MS);
  return vms;
}

const fleet = await startLocalFleet({timers, log, zones: ZONES});
fleet.configure(createConfiguration(1));
for (let index = 0; index < TARGETS_IN_COPY; index += 1) {
  await addTarget(fleet, index);
}
const vms = await startVms(fleet);
const copy = fleet.store.copy();
for (let index = 0; index < TARGETS_IN_COPY; index += 2) {
  fleet.store.remove('servers', `i-${index}`);
}
for (let index = 0; index < TARGETS_SINCE; index += 1) {
  await addTarget(fleet, TARGETS_IN_COPY + index);
}
await timers.sleep(SETTLED_MS);

const statuses = new Map<number, number>();
let isSending = true;
const senders = vms.map(async vm => {
  for (let index = 0; isSending; index += 1) {
    const {status} = await call(vm, {key: String(index % AFFINITY_KEYS)});
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
    await timers.sleep((1_000 * vmCount) / REQUESTS_PER_SECOND);
  }
});
const callCounts: number[] = [fleet.store.callCount()];
const sampler = timers.every(SAMPLE_MS, () =>
  callCounts.push(fleet.store.callCount()),
);
targetChanges = 0;
const beganAtMs = timers.nowMs();
fleet.store.restore(copy);
await timers.sleep(OBSERVED_MS);
isSending = false;
sampler.cancel();
await Promise.all(senders);

let mostCalls = 0;
for (const [index, count] of callCounts.entries()) {
  const until = callCounts[index + SAMPLES_PER_SECOND] ?? count;
  mostCalls = Math.max(mostCalls, until - count);
}
const lastMs = Math.round(Math.max(...restoredAtMs) - beganAtMs);
const statusText = [...statuses]
  .map(([status, count]) => `${count} with ${status}`)
  .join(', ');
process.stdout.write(
  `${restoredAtMs.length} of ${vmCount} VMs in the new era after ${lastMs} ms; ` +
    `store calls at most ${mostCalls} a second; requests ${statusText}; ` +
    `targets dropped or revived at any VM: ${targetChanges}\n`,
);
process.exit(0);
