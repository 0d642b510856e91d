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
  deleteExpiredSummaries,
  createManualTimerService,
  createSummaryWriter,
} from '@ibisbeam/library';
import {createMemoryPlatform} from '@ibisbeam/stand-ins';
import {sampleRecord} from './vm_harness.js';

const MIDNIGHT_MS = Date.parse('2026-12-04T00:00:00Z');

function summaryAt(countedToMs: number, hours: readonly number[]): BurnSummary {
  return {
    vm: vmId('riga-a-1'),
    incarnation: incarnation('inc-1'),
    region: regionName('riga'),
    countedFromMs: MIDNIGHT_MS - BURN_HOUR_MS,
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

test('each summary of an hour takes one write', async () => {
  const {platform, writer} = createWriter();
  const hour = MIDNIGHT_MS - BURN_HOUR_MS;
  assert.equal(
    await writer.write(summaryAt(MIDNIGHT_MS - 2, [hour])),
    undefined,
  );
  assert.equal(
    await writer.write(summaryAt(MIDNIGHT_MS - 1, [hour])),
    undefined,
  );
  assert.equal(platform.writeCount(), 2);
});

test('each hour has its own object, and ended hours are not rewritten', async () => {
  const {platform, writer, read} = createWriter();
  const hours = [
    MIDNIGHT_MS - 2 * BURN_HOUR_MS,
    MIDNIGHT_MS - BURN_HOUR_MS,
    MIDNIGHT_MS,
  ];
  await writer.write(summaryAt(MIDNIGHT_MS + 1, hours));
  assert.deepEqual(
    (await read()).map(({hours: storedHours}) =>
      storedHours.map(({startMs}) => startMs),
    ),
    hours.map(hour => [hour]),
  );
  const before = platform.writeCount();
  await writer.write(summaryAt(MIDNIGHT_MS + 2, hours));
  assert.equal(platform.writeCount() - before, 1);
});

test('an hour that ends between two writes is written once more', async () => {
  const {platform, writer, read} = createWriter();
  const [ended, next] = [MIDNIGHT_MS - BURN_HOUR_MS, MIDNIGHT_MS] as const;
  await writer.write(summaryAt(MIDNIGHT_MS - 600_000, [ended]));
  await writer.write(summaryAt(MIDNIGHT_MS + 300_000, [ended, next]));
  assert.equal(platform.writeCount(), 3);
  const [first] = await read();
  assert.equal(first!.countedToMs, MIDNIGHT_MS + 300_000);
});

test('an hour without requests still records the end of the count', async () => {
  const {writer, read} = createWriter();
  await writer.write(summaryAt(MIDNIGHT_MS + 5, []));
  assert.equal((await read())[0]!.countedToMs, MIDNIGHT_MS + 5);
});

test('the summary of a busy VM fits the size limit of the store', async () => {
  const {writer} = createWriter();
  const recorder = createRequestCountRecorder();
  for (let count = 0; count < 30_000; count += 1) {
    const service = serviceName(`service-${count % 300}`);
    const durationMs = (count * 37) % 5_000;
    recorder.record({...sampleRecord('r'), service, durationMs}, 250);
  }
  const services = recorder.counts();
  const summary = summaryAt(MIDNIGHT_MS + 1, []);
  const hours = [];
  for (let hour = 0; hour < 24; hour += 1) {
    const startMs = MIDNIGHT_MS - hour * BURN_HOUR_MS;
    hours.push({startMs, spanMs: BURN_HOUR_MS, services});
  }
  assert.equal(await writer.write({...summary, hours}), undefined);
});

test('a write whose answer was lost is replaced by the next', async () => {
  const {platform, writer, read} = createWriter();
  const hour = MIDNIGHT_MS;
  platform.faults.lostAnswers = 1;
  const lost = await writer.write(summaryAt(MIDNIGHT_MS + 1, [hour]));
  assert.equal(lost?.kind, 'lost-answer');
  assert.equal(
    await writer.write(summaryAt(MIDNIGHT_MS + 9, [hour])),
    undefined,
  );
  const stored = await read();
  assert.deepEqual(
    stored.map(({countedToMs}) => countedToMs),
    [MIDNIGHT_MS + 9],
  );
});

test('the first write after a store outage contains every hour', async () => {
  const {platform, writer, read} = createWriter();
  platform.faults.down = true;
  const failed = await writer.write(
    summaryAt(MIDNIGHT_MS - 1, [MIDNIGHT_MS - BURN_HOUR_MS]),
  );
  assert.equal(failed?.kind, 'unavailable');
  platform.faults.down = false;
  const hours = [MIDNIGHT_MS - BURN_HOUR_MS, MIDNIGHT_MS];
  assert.equal(
    await writer.write(summaryAt(MIDNIGHT_MS + 1, hours)),
    undefined,
  );
  assert.equal((await read()).length, 2);
});

test('summaries older than any report window are deleted, others kept', async () => {
  const {platform, writer, read} = createWriter();
  await writer.write(summaryAt(MIDNIGHT_MS + 1, [MIDNIGHT_MS]));
  const vm = vmId('riga-a-1');
  const collectAfter = (days: number) =>
    deleteExpiredSummaries(
      platform.store,
      vm,
      MIDNIGHT_MS + days * 24 * BURN_HOUR_MS,
    );
  assert.equal(await collectAfter(90), 0);
  assert.equal((await read()).length, 1);
  const otherVm = vmId('riga-a-10');
  const later = MIDNIGHT_MS + 93 * 24 * BURN_HOUR_MS;
  assert.equal(await deleteExpiredSummaries(platform.store, otherVm, later), 0);
  assert.equal(await collectAfter(93), 1);
  assert.equal((await read()).length, 0);
});
