import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTokenVerifier} from '@ibisbeam/library';
import {EXIT_STATUS} from '../src/index.js';
import {type Harness, createHarness} from './command_harness.js';

const ISSUE = ['token', 'issue', '--kind', 'operator', '--name', 'janis'];
const AUDIENCE = ['--audience', 'operator'];

async function issue(harness: Harness, key: string): Promise<string> {
  const run = await harness.run(
    ...ISSUE,
    ...AUDIENCE,
    ...['--signing-key', key, '--out', `${key}-token`],
  );
  assert.equal(run.status, EXIT_STATUS.done, run.errors);
  return harness.files.get(`${key}-token`)!.trim();
}

async function isValid(harness: Harness, token: string): Promise<boolean> {
  const keys = JSON.parse(harness.files.get('set')!);
  const verifier = createTokenVerifier(keys, harness.timers);
  return (await verifier.verify(token, 'ibisbeam-operator').run()).isRight();
}

test('two keys are valid during rotation, and a retired key is not', async () => {
  const harness = await createHarness();
  await harness.run('keys', 'create', 'old', 'set', '--key-id', 'old');
  const before = await issue(harness, 'old');
  await harness.run('keys', 'create', 'new', 'set', '--key-id', 'new');
  const after = await issue(harness, 'new');
  assert.equal(await isValid(harness, before), true);
  assert.equal(await isValid(harness, after), true);
  const third = await harness.run(
    'keys',
    'create',
    'x',
    'set',
    '--key-id',
    'x',
  );
  assert.equal(third.status, EXIT_STATUS.invalidInput);
  await harness.run('keys', 'retire', 'old', 'set');
  assert.equal(await isValid(harness, before), false);
  assert.equal(await isValid(harness, after), true);
  const last = await harness.run('keys', 'retire', 'new', 'set');
  assert.equal(last.status, EXIT_STATUS.invalidInput);
});

test('a key file is never overwritten and a duplicate key id is refused', async () => {
  const harness = await createHarness();
  await harness.run('keys', 'create', 'one', 'set', '--key-id', 'one');
  const kept = harness.files.get('one');
  const again = await harness.run(
    'keys',
    'create',
    'one',
    'set',
    '--key-id',
    'b',
  );
  assert.equal(again.status, EXIT_STATUS.invalidInput);
  assert.equal(harness.files.get('one'), kept);
  const taken = await harness.run(
    'keys',
    'create',
    'b',
    'set',
    '--key-id',
    'one',
  );
  assert.equal(taken.status, EXIT_STATUS.alreadySo);
});

test('inspect shows the principal of a token, never the token', async () => {
  const harness = await createHarness();
  await harness.run('keys', 'create', 'one', 'set', '--key-id', 'one');
  const token = await issue(harness, 'one');
  const run = await harness.run(
    ...['token', 'inspect', 'one-token', '--profile', 'profile'],
  );
  assert.equal(run.status, EXIT_STATUS.invalidInput, 'no such profile');
  harness.files.set('keys', harness.files.get('set')!);
  const shown = await harness.run('token', 'inspect', 'one-token');
  assert.match(shown.output, /valid for operator janis/);
  assert.ok(!shown.output.includes(token));
  await harness.timers.advance(9 * 3_600_000);
  const later = await harness.run('token', 'inspect', 'one-token');
  assert.match(later.output, /EXPIRED[^]*REFUSED: expired/);
});

const INVALID_OPTIONS: readonly (readonly [
  string,
  readonly string[],
  number,
])[] = [
  ['no name', ['--kind', 'operator', ...AUDIENCE], 3],
  [
    'a team for an operator',
    ['--kind', 'operator', '--name', 'a', '--team', 'b', ...AUDIENCE],
    3,
  ],
  ['an unknown kind', ['--kind', 'king', ...AUDIENCE], 2],
  ['no audience', ['--kind', 'operator', '--name', 'a'], 2],
  [
    'a lifetime over the maximum',
    ['--kind', 'operator', '--name', 'a', '--lifetime', '900d', ...AUDIENCE],
    3,
  ],
];
for (const [title, options, status] of INVALID_OPTIONS) {
  test(`token issue refuses ${title}`, async () => {
    const harness = await createHarness();
    await harness.run('keys', 'create', 'one', 'set', '--key-id', 'one');
    const run = await harness.run(
      ...[
        'token',
        'issue',
        '--signing-key',
        'one',
        '--out',
        'made',
        ...options,
      ],
    );
    assert.equal(run.status, status, run.errors);
    assert.equal(harness.files.has('made'), false);
  });
}

test('an invalid private key is refused without being printed', async () => {
  const harness = await createHarness();
  harness.files.set('secret', 'hunter2');
  const run = await harness.run(
    ...ISSUE,
    ...AUDIENCE,
    '--signing-key',
    'secret',
  );
  assert.equal(run.status, EXIT_STATUS.invalidInput);
  assert.ok(!`${run.output}${run.errors}`.includes('hunter2'));
});
