import assert from 'node:assert/strict';
import {join} from 'node:path';
import {test} from 'node:test';
import {loadSettings, readSecret} from '../../../src/index.js';

const FIXTURES = join(
  import.meta.dirname,
  '../../../../test/fixtures/settings',
);

function problemsOf(file: string) {
  return loadSettings(join(FIXTURES, file)).swap().unsafeCoerce();
}

test('settings with comments are parsed and defaults filled in', () => {
  const settings = loadSettings(join(FIXTURES, 'valid.jsonc')).unsafeCoerce();
  assert.equal(settings.vm.id, 'riga-a-1');
  assert.equal(settings.stop.boundMs, 60_000);
});

test('an unknown key is an error that names its line', () => {
  const [problem] = problemsOf('unknown_key.jsonc');
  assert.equal(problem?.details['key'], 'listen.admin');
  assert.equal(problem?.details['line'], 8);
});

test('each invalid value is reported with key, line, expected and found', () => {
  const problems = problemsOf('wrong_type.jsonc');
  const byKey = new Map(
    problems.map(problem => [problem.details['key'], problem.details]),
  );
  assert.equal(byKey.get('listen.caller')?.['line'], 4);
  assert.equal(byKey.get('listen.caller')?.['found'], '"localhost"');
  assert.equal(byKey.get('platform.callTimeoutMs')?.['line'], 10);
  assert.match(
    String(byKey.get('platform.callTimeoutMs')?.['expected']),
    /number/,
  );
});

test('a missing file is reported as SettingsUnreadable', () => {
  assert.equal(problemsOf('absent.jsonc')[0]?.name, 'SettingsUnreadable');
});

test('a missing secret is reported with its environment variable', () => {
  const reference = {environmentVariable: 'VM_KEY'};
  const missing = readSecret('keys.vmSigning', reference, {});
  assert.match(missing.swap().unsafeCoerce().message, /VM_KEY/);
  const found = readSecret('keys.vmSigning', reference, {VM_KEY: 'x'});
  assert.equal(found.unsafeCoerce(), 'x');
});
