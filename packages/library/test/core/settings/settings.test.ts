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

test('settings with comments are read and defaults filled in', () => {
  const settings = loadSettings(join(FIXTURES, 'valid.jsonc')).unsafeCoerce();
  assert.equal(settings.vm.id, 'riga-a-1');
  assert.equal(settings.stop.boundMs, 60_000);
});

test('an unknown key is an error that names its line', () => {
  const [problem] = problemsOf('unknown_key.jsonc');
  assert.equal(problem?.details['key'], 'listen.admin');
  assert.equal(problem?.details['line'], 8);
});

test('each wrong value is told with key, line, expected and found', () => {
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

test('a file that is not there is an error of its own', () => {
  assert.equal(problemsOf('absent.jsonc')[0]?.name, 'SettingsUnreadable');
});

test('a secret that its environment variable does not hold is named', () => {
  const reference = {environmentVariable: 'VM_KEY'};
  const missing = readSecret('keys.vmSigning', reference, {});
  assert.match(missing.swap().unsafeCoerce().message, /VM_KEY/);
  const found = readSecret('keys.vmSigning', reference, {VM_KEY: 'x'});
  assert.equal(found.unsafeCoerce(), 'x');
});
