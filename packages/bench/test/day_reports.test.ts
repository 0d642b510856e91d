import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {compareReports} from '../src/day_reports/compare_reports.js';
import {type DayReport, readDayReport} from '../src/day_reports/read_report.js';

function group(name: string, requests: number, inTime: number) {
  return {
    name,
    n: requests,
    in_aim: inTime,
    late: requests - inTime,
    refused: 0,
    failed: 0,
    not_owed: 0,
    worth: inTime / requests,
    p50_ms: 100,
    p99_ms: 400,
  };
}

function day(worth: number, windows: readonly number[]): DayReport {
  const text = JSON.stringify({
    G: worth,
    breaks: worth < 0.5 ? {LOST: 1} : {},
    classes: [group('room-lookup', 100, 90), group('booking-pay', 50, 40)],
    zones: [group('riga-a', 150, 130)],
    windows: windows.map((inTime, index) =>
      group(String(index * 2), 10, inTime),
    ),
    prices: [
      ['machine-seconds', 1_000, -0.01],
      ['GB between zones', 0.1, -0.03],
    ],
  });
  return readDayReport(text).caseOf({
    Left: problem => assert.fail(problem),
    Right: report => report,
  });
}

describe('reports of days side by side', () => {
  const days = [
    {name: 'before', report: day(0.4, [9, 2, 5])},
    {name: 'after', report: day(0.6, [9, 8, 1])},
  ];
  const tables = new Map(
    compareReports(days).map(table => [table.title, table.rows]),
  );

  it('tell worth, the worst kind and zone, and broken rules', () => {
    assert.deepEqual(tables.get('Days'), [
      ['before', '0.400', 'booking-pay 0.800', 'riga-a 0.867', 'LOST'],
      ['after', '0.600', 'booking-pay 0.800', 'riga-a 0.867', 'none'],
    ]);
  });

  it('put each kind of request of both days below each other', () => {
    const kinds = tables.get('Kinds of requests') ?? [];
    assert.deepEqual(
      kinds.map(([name, from]) => `${name} ${from}`),
      [
        'room-lookup before',
        'room-lookup after',
        'booking-pay before',
        'booking-pay after',
      ],
    );
  });

  it('show the worst windows first, and the highest prices', () => {
    const windows = tables.get('Worst windows') ?? [];
    assert.deepEqual(windows[0]?.slice(0, 2), ['2', 'before']);
    const [, highest] = tables.get('Highest prices') ?? [];
    assert.deepEqual(tables.get('Highest prices')?.[0], [
      'before',
      'GB between zones',
      '0.0300',
    ]);
    assert.equal(highest?.[1], 'machine-seconds');
  });

  it('tell what is wrong with a file that is no report', () => {
    assert.ok(readDayReport('{').isLeft());
    assert.ok(readDayReport('{"G": 1}').isLeft());
  });
});
