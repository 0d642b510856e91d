import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  BURN_HOUR_MS,
  BURN_SLICE_MS,
  type BurnSlice,
  type BurnSummary,
  type Configuration,
  type RequestRecord,
  buildBurnReport,
  findBurnAlert,
  createRequestCountRecorder,
  decodeHistogram,
  incarnation,
  mergeHistograms,
  mergeBurnSummaries,
  regionName,
  requestId,
  serviceName,
  teamName,
  vmId,
  workspaceName,
} from '../../src/index.js';

const WORKSPACE = workspaceName('lodging');
const SERVICE = serviceName('rooms');
const HOUR = Date.parse('2026-12-03T20:00:00Z');
const NOW = HOUR + BURN_HOUR_MS / 2;
const OBJECTIVE = {
  availability: 0.9,
  latencyThresholdMs: 100,
  latencyFraction: 0.9,
  windowDays: 28,
};
const CONFIGURATION = {
  workspaces: new Map([
    [
      WORKSPACE,
      new Map([
        [
          SERVICE,
          {
            workspace: WORKSPACE,
            service: SERVICE,
            policy: {objective: OBJECTIVE},
          },
        ],
      ]),
    ],
  ]),
} as unknown as Configuration;

function record(changes: Partial<RequestRecord> = {}): RequestRecord {
  return {
    request: requestId('r'),
    workspace: WORKSPACE,
    service: SERVICE,
    callingTeam: teamName('desk'),
    startedAtMs: 0,
    durationMs: 10,
    result: 'answered',
    status: 200,
    attempts: 1,
    ...changes,
  };
}

const REFUSED = {result: 'refused', status: 503} as const;

function slice(
  startMs: number,
  records: readonly RequestRecord[],
  spanMs = BURN_HOUR_MS,
): BurnSlice {
  const recorder = createRequestCountRecorder();
  for (const entry of records) {
    recorder.record(entry, OBJECTIVE.latencyThresholdMs);
  }
  return {startMs, spanMs, services: recorder.counts()};
}

function summary(
  incarnationId: string,
  hours: readonly BurnSlice[],
  changes: Partial<BurnSummary> = {},
): BurnSummary {
  return {
    vm: vmId('vm-1'),
    incarnation: incarnation(incarnationId),
    region: regionName('riga'),
    countedFromMs: HOUR,
    countedToMs: NOW,
    final: false,
    hours,
    slices: [],
    ...changes,
  };
}

function report(stored: readonly BurnSummary[], live: readonly BurnSummary[]) {
  const joined = mergeBurnSummaries(stored, live, []);
  const [service] = buildBurnReport(CONFIGURATION, joined, NOW).services;
  return {joined, service: service!};
}

test('failed responses, unknown outcomes and refusals by the system spend budget', () => {
  const records = [
    ...Array.from({length: 16}, () => record()),
    record({status: 502}),
    record({result: 'unknown', status: 504}),
    record({...REFUSED, refusal: 'region-full'}),
    record({...REFUSED, refusal: 'shift-cap-reached'}),
    record({...REFUSED, refusal: 'not-approved', status: 403}),
    record({result: 'caller-gone', status: 499}),
  ];
  const {service} = report([], [summary('a', [slice(HOUR, records)])]);
  assert.equal(service.availability.total, 20);
  assert.equal(service.availability.bad, 4);
  assert.ok(Math.abs(service.availability.leftFraction - -1) < 1e-9);
  assert.deepEqual(service.callerFaults, [{reason: 'not-approved', count: 1}]);
  assert.equal(service.callerGone, 1);
  assert.equal(service.spent.length, 4);
});

test('late responses spend the latency budget, not the availability budget', () => {
  const records = [
    record(),
    record({durationMs: 101}),
    record({durationMs: 100}),
  ];
  const {service} = report([], [summary('a', [slice(HOUR, records)])]);
  assert.equal(service.latency.bad, 1);
  assert.equal(service.availability.bad, 0);
});

test('short windows count only the slices within them', () => {
  const bad = record({...REFUSED, refusal: 'overloaded'});
  const old = slice(HOUR, [bad], BURN_SLICE_MS);
  const fresh = slice(NOW - BURN_SLICE_MS, [record()], BURN_SLICE_MS);
  const live = summary('a', [slice(HOUR, [bad, record()])], {
    slices: [old, fresh],
  });
  const rates = new Map(
    report([], [live]).service.availability.rates.map(entry => [
      entry.window,
      entry.bad,
    ]),
  );
  assert.deepEqual(
    [...rates],
    [
      ['5m', 0],
      ['1h', 1],
      ['6h', 1],
      ['3d', 1],
    ],
  );
});

test('an alert requires that both the long and the short window reach the rate', () => {
  const rates = (long: number, short: number) => [
    {window: '1h' as const, rate: long, total: 1, bad: 1},
    {window: '5m' as const, rate: short, total: 1, bad: 1},
  ];
  assert.equal(findBurnAlert(rates(15, 15))?.severity, 'page');
  assert.equal(findBurnAlert(rates(15, 0)), undefined);
  assert.equal(findBurnAlert(rates(0, 15)), undefined);
});

test('an hour in a stored and a live summary is counted once, from the newer one', () => {
  const stored = summary('a', [slice(HOUR, [record()])]);
  const live = summary('a', [slice(HOUR, [record(), record()])]);
  assert.equal(report([stored], [live]).service.availability.total, 2);
  assert.equal(report([live], [stored]).service.availability.total, 2);
});

test('two incarnations of a VM add up, and the gap between them is reported', () => {
  const first = summary('a', [slice(HOUR, [record()])], {
    countedToMs: HOUR + 600_000,
  });
  const second = summary('b', [slice(HOUR, [record()])], {
    countedFromMs: HOUR + 900_000,
  });
  const {joined, service} = report([first], [second]);
  assert.equal(service.availability.total, 2);
  assert.equal(joined.gaps.length, 1);
  assert.equal(joined.gaps[0]!.fromMs, HOUR + 600_000);
  assert.equal(joined.gaps[0]!.toMs, HOUR + 900_000);
});

test('a VM that shut down cleanly leaves no gap', () => {
  const ended = summary('a', [slice(HOUR, [record()])], {final: true});
  assert.deepEqual(report([ended], []).joined.gaps, []);
});

test('a merged histogram contains the latencies of all its parts', () => {
  const one = slice(HOUR, [record({durationMs: 10})]).services[0]!.latency;
  const two = slice(HOUR, [record({durationMs: 5_000})]).services[0]!.latency;
  const merged = mergeHistograms([one, two, 'not a histogram']);
  assert.equal(merged.totalCount, 2);
  assert.ok(Math.abs(merged.maxValue - 5_000) <= 50);
  assert.equal(decodeHistogram('not a histogram'), undefined);
});
