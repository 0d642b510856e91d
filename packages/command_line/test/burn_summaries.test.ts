import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  BURN_HOUR_MS,
  type BurnSummary,
  burnSummarySchema,
  incarnation,
  regionName,
  vmId,
} from '@ibisbeam/decision';
import {
  collectOldSummaries,
  createManualTimerService,
  createSummaryWriter,
} from '@ibisbeam/library';
import {createMemoryPlatform} from '@ibisbeam/stand-ins';

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

test('a summary is one write, and again one write later', async () => {
  const {platform, writer} = createWriter();
  const hour = MIDNIGHT - BURN_HOUR_MS;
  assert.equal(await writer.write(summaryAt(MIDNIGHT - 2, [hour])), undefined);
  assert.equal(await writer.write(summaryAt(MIDNIGHT - 1, [hour])), undefined);
  assert.equal(platform.writeCount(), 2);
});

test('hours go to the object of their day, and an old day is left alone', async () => {
  const {platform, writer, read} = createWriter();
  const hours = [MIDNIGHT - BURN_HOUR_MS, MIDNIGHT];
  await writer.write(summaryAt(MIDNIGHT + 1, hours));
  assert.deepEqual(
    (await read()).map(({hours: kept}) => kept.length),
    [1, 1],
  );
  const before = platform.writeCount();
  await writer.write(summaryAt(MIDNIGHT + 2, hours));
  assert.equal(platform.writeCount() - before, 1);
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
