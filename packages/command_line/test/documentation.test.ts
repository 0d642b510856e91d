import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {test} from 'node:test';
import {REFUSAL_REASONS} from '@ibisbeam/decision';
import {EXIT_STATUS, commands} from '../src/index.js';
import {createHarness} from './command_harness.js';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));

function page(name: string): string {
  return readFileSync(`${ROOT}docs/${name}`, 'utf8');
}

test('every exit status is documented', () => {
  const text = page('operators/exit-statuses.md');
  for (const status of Object.values(EXIT_STATUS)) {
    assert.match(text, new RegExp(`^\\| ${status} \\|`, 'm'));
  }
});

test('the night page covers every refusal that is not the fault of the caller', () => {
  const text = page('operators/night.md');
  const callerFaults =
    /^(unknown-|malformed|unauth|request-too|idempotency|answer-not)/;
  for (const reason of REFUSAL_REASONS) {
    if (!callerFaults.test(reason)) {
      assert.ok(text.includes(`\`${reason}\``), reason);
    }
  }
});

test('pages name only commands that exist', async () => {
  assert.ok(commands.length > 0);
  const harness = await createHarness();
  const called = new Set<string>();
  const names = readdirSync(`${ROOT}docs/operators`).map(
    name => `operators/${name}`,
  );
  for (const name of [...names, 'callers.md']) {
    const found = page(name).matchAll(
      /ibisbeam (?:-- )?((?!-)[a-z]+(?: (?!-)[a-z]+)?)/g,
    );
    for (const [, command] of found) {
      called.add(command!);
    }
  }
  for (const command of called) {
    const [group, rest] = command.split(' ');
    const help = await harness.run(group!, '--help');
    assert.equal(help.status, EXIT_STATUS.done, command);
    const grouped = help.output.includes('Commands:');
    const known = !grouped || !rest || help.output.includes(` ${rest} `);
    assert.ok(known || help.output.includes(` ${rest}\n`), command);
  }
});
