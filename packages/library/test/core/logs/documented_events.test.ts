import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {describe, it} from 'node:test';

const ROOT = join(import.meta.dirname, '../../../../../..');
const TYPES = 'packages/library/src/core/logs/types.ts';
const PAGE = 'docs/operators/logs.md';

describe('log events', () => {
  it('are all documented on the operators page', () => {
    const types = readFileSync(join(ROOT, TYPES), 'utf8');
    const page = readFileSync(join(ROOT, PAGE), 'utf8');
    const union = types.slice(
      types.indexOf('type LogEvent'),
      types.indexOf('type LogLevel'),
    );
    const events = [...union.matchAll(/'([a-z-]+)'/g)].map(match => match[1]);
    assert.ok(events.length > 30);
    for (const event of events) {
      assert.ok(
        page.includes(`\`${event}\``),
        `${event} is missing in ${PAGE}`,
      );
    }
  });
});
