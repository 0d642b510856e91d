import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  BURN_HOUR_MS,
  type BurnSummary,
  createRequestCountRecorder,
  incarnation,
  regionName,
  vmId,
} from '@ibisbeam/decision';
import {createSummaryWriter} from '@ibisbeam/library';
import {EXIT_STATUS} from '../src/index.js';
import {type Harness, createHarness} from './command_harness.js';
import {sampleRecord} from './vm_harness.js';

function summaryOf(harness: Harness, vm: string): BurnSummary {
  const recorder = createRequestCountRecorder();
  recorder.record(sampleRecord('a'), 250);
  recorder.record(sampleRecord('b', {durationMs: 900}), 250);
  const refused = {result: 'refused', refusal: 'region-full'} as const;
  recorder.record(sampleRecord('c', {...refused, status: 503}), 250);
  const nowMs = harness.timers.wallMs();
  return {
    vm: vmId(vm),
    incarnation: incarnation('inc-1'),
    region: regionName('riga'),
    countedFromMs: nowMs - BURN_HOUR_MS,
    countedToMs: nowMs,
    final: false,
    hours: [
      {
        startMs: Math.floor(nowMs / BURN_HOUR_MS) * BURN_HOUR_MS,
        spanMs: BURN_HOUR_MS,
        services: recorder.counts(),
      },
    ],
    slices: [],
  };
}

test('stored and live counts add up, and VMs without an answer are named', async () => {
  const harness = await createHarness();
  const stored = summaryOf(harness, 'riga-a-1');
  await createSummaryWriter(harness.platform.store).write(stored);
  harness.reply = ({address}) =>
    address === '10.0.0.1:8082'
      ? {status: 200, body: summaryOf(harness, 'kurzeme-a-2')}
      : undefined;
  const run = await harness.run(
    ...['report', 'burn', '--service', 'room-availability'],
    ...['--html', 'page.html'],
  );
  assert.equal(run.status, EXIT_STATUS.done, run.errors);
  assert.match(run.output, /availability\s+spent 333\.3x\s+2\s+6\s/);
  assert.match(run.output, /spent on: region-full 2/);
  assert.match(run.output, /Missing: VM riga-a-1: incarnation inc-1 gave no/);
  assert.match(run.output, /Missing: VM latgale-a-3: did not answer/);
  const page = harness.files.get('page.html')!;
  assert.match(page, /<svg/);
  assert.ok(
    !/(src|href)=|url\(|@import/.test(page),
    'the page must not load external resources',
  );
});

test('the page escapes names that come from callers and targets', async () => {
  const harness = await createHarness();
  const summary = summaryOf(harness, 'riga-a-1');
  const services = summary.hours[0]!.services.map(counts => ({
    ...counts,
    refused: {'<script>alert(1)</script>': 3},
  }));
  const hours = [{...summary.hours[0]!, services}];
  harness.reply = () => ({status: 200, body: {...summary, hours}});
  await harness.run('report', 'burn', '--html', 'page.html');
  const page = harness.files.get('page.html')!;
  assert.ok(!page.includes('<script>'));
});

test('an unknown workspace is not found and no page is written', async () => {
  const harness = await createHarness();
  const run = await harness.run(
    ...['report', 'burn', '--workspace', 'x', '--html', 'page.html'],
  );
  assert.equal(run.status, EXIT_STATUS.notFound);
  assert.equal(harness.files.has('page.html'), false);
});
