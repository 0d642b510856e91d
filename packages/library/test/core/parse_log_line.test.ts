import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {formatLogLine} from '../../src/core/logs/format_log_line.js';
import {parseLogLine} from '../../src/index.js';

describe('log lines', () => {
  it('are parsed back to the fields that were formatted', () => {
    const value = fc.oneof(
      fc.string({unit: 'binary'}),
      fc.integer(),
      fc.boolean(),
    );
    fc.assert(
      fc.property(
        fc.dictionary(fc.stringMatching(/^[a-z][A-Za-z0-9]{0,8}$/), value, {
          maxKeys: 6,
        }),
        fields => {
          fc.pre(!('time' in fields || 'level' in fields || 'event' in fields));
          const time = '2026-12-04T01:00:00.000Z';
          const line = parseLogLine(
            formatLogLine(time, 'info', 'vm-started', fields),
          );
          assert.ok(line);
          assert.equal(line.event, 'vm-started');
          const expected = Object.entries(fields).map(([key, found]) => [
            key,
            String(found),
          ]);
          assert.deepEqual([...line.fields], expected);
        },
      ),
    );
  });

  it('are not parsed from other text or truncated lines', () => {
    assert.equal(parseLogLine(''), undefined);
    assert.equal(parseLogLine('time=1 level=info'), undefined);
    assert.equal(parseLogLine('time=1 level=info event=x a="cut'), undefined);
  });
});
