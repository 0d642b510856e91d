import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  BURN_HOUR_MS,
  type BurnSummary,
  burnSummarySchema,
  createRequestCountRecorder,
  incarnation,
  regionName,
  serviceName,
  vmId,
} from '@ibisbeam/decision';
import {
  collectOldSummaries,
  createManualTimerService,
  createSummaryWriter,
} from '@ibisbeam/library';
import {createMemoryPlatform} from '@ibisbeam/stand-ins';
import {sampleRecord} from './vm_harness.js';

const MIDNIGHT = Date.parse('2026-12-04T00:00:00Z');

function summaryAt(countedToMs: number, hours: readonly number[]): BurnSummary {
  return {
    vm: vmId('riga-a-1'),
    incarnation: incarnation('life'),
    region: regionName('riga'),
    countedFromMs: MIDNIGHT - BURN_HOUR_MS,
    countedToMs,
    final: false,
    hours: hours.map(startMs => ({
      startMs,
      spanMs: BURN_HOUR_MS,
      services: [],
    })),
    slices: [],
  };
}

function createWriter() {
  const timers = createManualTimerService();
  const platform = createMemoryPlatform(timers);
  const writer = createSummaryWriter(platform.store);
  const read = async () => {
    const listed = await platform.store.list('burn/', {purpose: 'operator'});
    const {objects} = listed.unsafeCoerce();
    return objects.map(object => burnSummarySchema.parse(object.value));
  };
  return {platform, writer, read};
}

test('a summary is one write, and again one write later in the hour', async () => {
  const {platform, writer} = createWriter();
  const hour = MIDNIGHT - BURN_HOUR_MS;
  assert.equal(await writer.write(summaryAt(MIDNIGHT - 2, [hour])), undefined);
  assert.equal(await writer.write(summaryAt(MIDNIGHT - 1, [hour])), undefined);
  assert.equal(platform.writeCount(), 2);
});

test('each hour has its object, and hours that ended are left alone', async () => {
  const {platform, writer, read} = createWriter();
  const hours = [
    MIDNIGHT - 2 * BURN_HOUR_MS,
    MIDNIGHT - BURN_HOUR_MS,
    MIDNIGHT,
  ];
  await writer.write(summaryAt(MIDNIGHT + 1, hours));
  assert.deepEqual(
    (await read()).map(({hours: kept}) => kept.map(({startMs}) => startMs)),
    hours.map(hour => [hour]),
  );
  const before = platform.writeCount();
  await writer.write(summaryAt(MIDNIGHT + 2, hours));
  assert.equal(platform.writeCount() - before, 1);
});

test('the hour that ended between two writes is written once more', async () => {
  const {platform, writer, read} = createWriter();
  const [ended, next] = [MIDNIGHT - BURN_HOUR_MS, MIDNIGHT] as const;
  await writer.write(summaryAt(MIDNIGHT - 600_000, [ended]));
  await writer.write(summaryAt(MIDNIGHT + 300_000, [ended, next]));
  assert.equal(platform.writeCount(), 3);
  const [first] = await read();
  assert.equal(first!.countedToMs, MIDNIGHT + 300_000);
});

test('an hour without requests still tells up to when was counted', async () => {
  const {writer, read} = createWriter();
  await writer.write(summaryAt(MIDNIGHT + 5, []));
  assert.equal((await read())[0]!.countedToMs, MIDNIGHT + 5);
});

test('a busy VM of many services stays under the limit of the store', async () => {
  const {writer} = createWriter();
  const recorder = createRequestCountRecorder();
  for (let count = 0; count < 30_000; count += 1) {
    const service = serviceName(`service-${count % 300}`);
    const durationMs = (count * 37) % 5_000;
    recorder.record({...sampleRecord('r'), service, durationMs}, 250);
  }
  const services = recorder.counts();
  const summary = summaryAt(MIDNIGHT + 1, []);
  const hours = [];
  for (let hour = 0; hour < 24; hour += 1) {
    const startMs = MIDNIGHT - hour * BURN_HOUR_MS;
    hours.push({startMs, spanMs: BURN_HOUR_MS, services});
  }
  assert.equal(await writer.write({...summary, hours}), undefined);
});

test('a summary whose answer was lost is overwritten by the next', async () => {
  const {platform, writer, read} = createWriter();
  const hour = MIDNIGHT;
  platform.faults.lostAnswers = 1;
  const lost = await writer.write(summaryAt(MIDNIGHT + 1, [hour]));
  assert.equal(lost?.kind, 'lost-answer');
  assert.equal(await writer.write(summaryAt(MIDNIGHT + 9, [hour])), undefined);
  const stored = await read();
  assert.deepEqual(
    stored.map(({countedToMs}) => countedToMs),
    [MIDNIGHT + 9],
  );
});

test('while the store is away nothing is lost for the next write', async () => {
  const {platform, writer, read} = createWriter();
  platform.faults.down = true;
  const failed = await writer.write(
    summaryAt(MIDNIGHT - 1, [MIDNIGHT - BURN_HOUR_MS]),
  );
  assert.equal(failed?.kind, 'unavailable');
  platform.faults.down = false;
  const hours = [MIDNIGHT - BURN_HOUR_MS, MIDNIGHT];
  assert.equal(await writer.write(summaryAt(MIDNIGHT + 1, hours)), undefined);
  assert.equal((await read()).length, 2);
});

test('summaries that no report reads are deleted, others are kept', async () => {
  const {platform, writer, read} = createWriter();
  await writer.write(summaryAt(MIDNIGHT + 1, [MIDNIGHT]));
  const vm = vmId('riga-a-1');
  const collectAfter = (days: number) =>
    collectOldSummaries(
      platform.store,
      vm,
      MIDNIGHT + days * 24 * BURN_HOUR_MS,
    );
  assert.equal(await collectAfter(90), 0);
  assert.equal((await read()).length, 1);
  const otherVm = vmId('riga-a-10');
  const later = MIDNIGHT + 93 * 24 * BURN_HOUR_MS;
  assert.equal(await collectOldSummaries(platform.store, otherVm, later), 0);
  assert.equal(await collectAfter(93), 1);
  assert.equal((await read()).length, 0);
});
