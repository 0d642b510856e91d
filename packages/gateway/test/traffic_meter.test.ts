import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createKeyValueLogger} from '@ibisbeam/library';
import {createTrafficMeter} from '../src/traffic_meter.js';

describe('traffic meter', () => {
  it('tells apart what stays in the zone, the region, and leaves it', () => {
    const counted: string[] = [];
    const lines: string[] = [];
    const meter = createTrafficMeter({
      self: {zone: 'riga-a', region: 'riga'},
      log: createKeyValueLogger({
        level: 'info',
        fields: {},
        write: line => lines.push(line),
      }),
      countBytes: (content, distance, bytes) =>
        counted.push(`${content} ${distance} ${bytes}`),
    });
    meter.record('heartbeat', {zone: 'riga-a', region: 'riga'}, 100);
    meter.record('heartbeat', {zone: 'riga-b', region: 'riga'}, 100);
    meter.record('target-answer', {zone: 'riga-b', region: 'riga'}, 5_000);
    meter.record('heartbeat', {zone: 'kurz-a', region: 'kurzeme'}, 100);
    meter.record('heartbeat', {zone: 'kurz-b', region: 'kurzeme'}, 100);
    assert.deepEqual(counted.slice(0, 3), [
      'heartbeat zone 100',
      'heartbeat region 100',
      'target-answer region 5000',
    ]);
    meter.flush();
    meter.flush();
    assert.deepEqual(
      lines.map(line => line.slice(line.indexOf('event=')).trimEnd()),
      [
        'event=traffic distance=region heartbeat=100 target-answer=5000',
        'event=traffic distance=other-region heartbeat=200',
      ],
    );
  });
});
