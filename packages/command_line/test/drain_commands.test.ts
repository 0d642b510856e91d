import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EXIT_STATUS} from '../src/index.js';
import {
  type Harness,
  OWNER,
  createHarness,
  statusReply,
} from './command_harness.js';

/** All VMs answer and together have `inUse` slots in use in region riga. */
async function createHarnessWithLoad(inUse: number): Promise<Harness> {
  const harness = await createHarness();
  harness.reply = call => statusReply(call, 'room-availability', 'riga', inUse);
  return harness;
}

test('a drain that fits is planned, listed, shown and aborted', async () => {
  const harness = await createHarnessWithLoad(2);
  const planned = await harness.run('drain', 'plan', '--zone', 'riga/a');
  assert.equal(planned.status, EXIT_STATUS.done, planned.errors);
  const plan = await harness.run('drain', 'list', '--output', 'json');
  const drains = plan.json().data['drains'] as {drain: {id: string}}[];
  assert.equal(drains.length, 1);
  const {id} = drains[0]!.drain;
  await harness.timers.advance(150_000);
  const shown = await harness.run('drain', 'show', id);
  assert.match(
    shown.output,
    /zone riga\/a: ramping, 50 % drained, 150 s left|3 min left/,
  );
  assert.match(shown.output, /room-availability\s+riga\s+3\s+18\s+2/);
  const aborted = await harness.run('drain', 'abort', id);
  assert.equal(aborted.status, EXIT_STATUS.done, aborted.errors);
  const returning = await harness.run('drain', 'list');
  assert.match(returning.output, /zone riga\/a\s+returning\s+50 %/);
  await harness.timers.advance(150_000);
  assert.match((await harness.run('drain', 'list')).output, /No drains/);
  const again = await harness.run('drain', 'abort', id);
  assert.equal(again.status, EXIT_STATUS.alreadySo);
});

test('a drain that exceeds the remaining headroom is refused with figures', async () => {
  const harness = await createHarnessWithLoad(90);
  const run = await harness.run('drain', 'plan', '--region', 'riga');
  assert.equal(run.status, EXIT_STATUS.headroom);
  assert.match(run.errors, /riga keeps 0 of 36 slots for 90 requests/);
  assert.match(run.errors, /other regions have room for 48/);
  assert.equal(await harness.generation(), 1);
});

test('a zone drained faster than the shift cap is refused with its ramp', async () => {
  const harness = await createHarnessWithLoad(20);
  const plan = ['drain', 'plan', '--zone', 'riga/a', '--ramp'];
  const fast = await harness.run(...plan, '1m');
  assert.equal(fast.status, EXIT_STATUS.headroom);
  assert.match(fast.errors, /needs a ramp of at least 100000 ms/);
  const slower = await harness.run(...plan, '2m');
  assert.equal(slower.status, EXIT_STATUS.done, slower.errors);
});

test("a region's drain reports the duration that the shift cap requires", async () => {
  const harness = await createHarnessWithLoad(18);
  const plan = ['drain', 'plan', '--region', 'riga', '--ramp', '1m'];
  const run = await harness.run(...plan);
  assert.equal(run.status, EXIT_STATUS.done, run.errors);
  const drainedAt = /drained at (\S+Z)/.exec(run.output)![1]!;
  const durationMs = Date.parse(drainedAt) - harness.timers.wallMs();
  assert.ok(
    durationMs >= 600_000,
    'at 10 % a minute the drain takes at least 10 minutes',
  );
  await harness.timers.advance(durationMs / 2);
  const list = await harness.run('drain', 'list');
  assert.match(list.output, /region riga\s+ramping\s+(49\.\d+|50(\.\d+)?) %/);
  await harness.timers.advance(durationMs / 2 + 1_000);
  const drained = await harness.run('drain', 'list');
  assert.match(drained.output, /region riga\s+drained\s+100 %/);
});

test('a second drain does not count the slots of the first', async () => {
  const harness = await createHarnessWithLoad(20);
  const first = await harness.run('drain', 'plan', '--region', 'kurzeme');
  assert.equal(first.status, EXIT_STATUS.done, first.errors);
  const second = await harness.run(
    ...['drain', 'plan', '--region', 'latgale', '--ramp', '30m'],
  );
  assert.equal(second.status, EXIT_STATUS.done, second.errors);
  const third = await harness.run(
    ...['drain', 'plan', '--region', 'riga', '--ramp', '30m'],
  );
  assert.equal(third.status, EXIT_STATUS.headroom);
  assert.match(third.errors, /no slot would be left in any region/);
});

test('a drain with unknown load is planned only with --accept-unknown-load', async () => {
  const harness = await createHarness();
  const run = await harness.run('drain', 'plan', '--zone', 'riga/a');
  assert.equal(run.status, EXIT_STATUS.headroom);
  assert.match(run.errors, /not fully known/);
  const accepted = await harness.run(
    ...['drain', 'plan', '--zone', 'riga/a', '--accept-unknown-load'],
  );
  assert.equal(accepted.status, EXIT_STATUS.done, accepted.errors);
});

test('an entry VM is drained if the others can carry its share', async () => {
  const harness = await createHarnessWithLoad(20);
  const run = await harness.run('drain', 'plan', '--entry-vm', 'riga-a-1');
  assert.equal(run.status, EXIT_STATUS.done, run.errors);
  assert.match(run.output, /room-availability\s+riga\s+36\s+24\s+20/);
});

const INVALID_PLANS: readonly (readonly [
  string,
  readonly string[],
  number,
  RegExp,
])[] = [
  ['no scope', [], 3, /one of --target/],
  ['two scopes', ['--region', 'riga', '--zone', 'riga/a'], 3, /one of --tar/],
  ['a service without a zone', ['--service', 'x'], 3, /one of --target/],
  ['a zone without its region', ['--zone', 'a'], 3, /REGION\/ZONE/],
  ['a start in the past', ['--region', 'riga', '--start', 'now-1h'], 3, /past/],
  [
    'a start without an offset',
    ['--region', 'riga', '--start', '22:00'],
    3,
    /instant/,
  ],
  [
    'an end before the ramp ends',
    ['--region', 'riga', '--end', 'now+1m'],
    3,
    /when the ramp ends/,
  ],
  ['a ramp without a unit', ['--region', 'riga', '--ramp', '5'], 3, /duration/],
  ['an unknown region', ['--region', 'venta'], 10, /no region venta/],
  ['an unknown zone', ['--zone', 'riga/z'], 10, /no zone z/],
  ['an unknown target', ['--target', 'nobody'], 10, /no target nobody/],
  ['an unknown entry VM', ['--entry-vm', 'nobody'], 10, /no entry VM/],
];
for (const [title, options, status, expected] of INVALID_PLANS) {
  test(`drain plan refuses ${title} and changes nothing`, async () => {
    const harness = await createHarnessWithLoad(1);
    const run = await harness.run('drain', 'plan', ...options);
    assert.equal(run.status, status, run.errors);
    assert.match(run.errors, expected);
    assert.equal(await harness.generation(), 1);
  });
}

test('a target owner may neither plan nor abort a drain', async () => {
  const harness = await createHarnessWithLoad(1);
  const plan = await harness.runAs(OWNER, 'drain', 'plan', '--region', 'riga');
  assert.equal(plan.status, EXIT_STATUS.notAllowed);
  const abort = await harness.runAs(OWNER, 'drain', 'abort', 'x');
  assert.equal(abort.status, EXIT_STATUS.notAllowed);
});
