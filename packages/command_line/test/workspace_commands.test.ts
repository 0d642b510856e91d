import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EXIT_STATUS} from '../src/index.js';
import {OWNER, WORKSPACE, createHarness} from './command_harness.js';

test('workspace set changes a parameter and shows the impact', async () => {
  const harness = await createHarness();
  const run = await harness.run('workspace', 'set', WORKSPACE, 'shiftCap=0.15');
  assert.equal(run.status, EXIT_STATUS.done, run.errors);
  assert.match(run.output, /shift\.capFraction: 0\.1 -> 0\.15/);
  assert.match(run.output, /accepted as generation 2/);
  const history = await harness.run('workspace', 'history', WORKSPACE);
  assert.match(history.output, /janis.*shiftCap default -> 0\.15/);
});

test('workspace set with --dry-run changes nothing', async () => {
  const harness = await createHarness();
  const run = await harness.run(
    ...['workspace', 'set', WORKSPACE, 'shiftCap=0.15', '--dry-run'],
  );
  assert.equal(run.status, EXIT_STATUS.done, run.errors);
  assert.match(run.output, /nothing was changed/);
  assert.equal(await harness.generation(), 1);
});

test('a cap that another region could not carry is refused with figures', async () => {
  const harness = await createHarness();
  const run = await harness.run('workspace', 'set', WORKSPACE, 'shiftCap=0.25');
  assert.equal(run.status, EXIT_STATUS.headroom);
  assert.match(run.errors, /moves 9 requests at once; kurzeme keeps 6 of its/);
  assert.equal(await harness.generation(), 1);
});

const INVALID_INPUTS: readonly (readonly [
  string,
  readonly string[],
  RegExp,
])[] = [
  ['a value out of bounds', ['shiftCap=0.9'], /0\.01 to 0\.25/],
  ['a value that is not a number', ['shiftCap=fast'], /0\.01 to 0\.25/],
  ['a parameter that does not exist', ['shiftcap=0.1'], /\(shiftCap\)/],
  ['two values for one parameter', ['shiftCap=0.1', 'shiftCap=0.2'], /one val/],
  ['a value and its removal', ['shiftCap=0.1', '--unset', 'shiftCap'], /both/],
  ['no value at all', [], /name=value or --unset/],
  ['an argument that is not an assignment', ['shiftCap'], /name=value/],
];
for (const [title, values, expected] of INVALID_INPUTS) {
  test(`workspace set refuses ${title} and changes nothing`, async () => {
    const harness = await createHarness();
    const run = await harness.run('workspace', 'set', WORKSPACE, ...values);
    assert.equal(run.status, EXIT_STATUS.invalidInput, run.errors);
    assert.match(run.errors, expected);
    assert.match(run.errors, /hint: Nothing was changed/);
    assert.equal(await harness.generation(), 1);
  });
}

test('an unknown workspace and an unknown option have distinct statuses', async () => {
  const harness = await createHarness();
  const unknown = await harness.run('workspace', 'show', 'nowhere');
  assert.equal(unknown.status, EXIT_STATUS.notFound);
  const usage = await harness.run('workspace', 'show', WORKSPACE, '--bogus');
  assert.equal(usage.status, EXIT_STATUS.usage);
  assert.match(usage.errors, /bogus/);
});

test('of two concurrent changes one succeeds, the other reports both sides', async () => {
  const harness = await createHarness();
  harness.beforeHeadWrite = async () => {
    const other = await harness.run(
      'workspace',
      'set',
      WORKSPACE,
      'shiftCap=0.05',
    );
    assert.equal(other.status, EXIT_STATUS.done, other.errors);
  };
  const run = await harness.run('workspace', 'set', WORKSPACE, 'shiftCap=0.12');
  assert.equal(run.status, EXIT_STATUS.conflict);
  assert.match(run.errors, /theirs .*janis.*shiftCap nothing -> 0\.05/);
  assert.match(run.errors, /yours .*shiftCap nothing -> 0\.12/);
  assert.equal(await harness.generation(), 2);
  const shown = await harness.run('workspace', 'show', WORKSPACE);
  assert.match(shown.output, /shiftCap\s+0\.05/);
});

test('a change whose answer was lost is found by read-back', async () => {
  const harness = await createHarness();
  harness.beforeHeadWrite = async () => {
    harness.platform.faults.lostAnswers = 1;
  };
  const run = await harness.run('workspace', 'set', WORKSPACE, 'shiftCap=0.12');
  assert.equal(run.status, EXIT_STATUS.done, run.errors);
  assert.match(run.output, /found by read-back/);
  assert.equal(await harness.generation(), 2);
});

test('during a store outage a change fails with its own status', async () => {
  const harness = await createHarness();
  harness.platform.faults.down = true;
  const run = await harness.run('workspace', 'set', WORKSPACE, 'shiftCap=0.12');
  assert.equal(run.status, EXIT_STATUS.storeUnavailable);
});

test('a target owner may not change a workspace', async () => {
  const harness = await createHarness();
  const run = await harness.runAs(
    ...([OWNER, 'workspace', 'set', WORKSPACE, 'shiftCap=0.12'] as const),
  );
  assert.equal(run.status, EXIT_STATUS.notAllowed);
  assert.match(run.errors, /needs an operator/);
  assert.equal(await harness.generation(), 1);
});
