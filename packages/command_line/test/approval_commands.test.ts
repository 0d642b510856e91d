import assert from 'node:assert/strict';
import {test} from 'node:test';
import {teamName} from '@ibisbeam/decision';
import {EXIT_STATUS} from '../src/index.js';
import {OPERATOR, OWNER, WORKSPACE, createHarness} from './command_harness.js';

const TEAM = {kind: 'calling-team', team: teamName('night-desk')} as const;
const KEY = [
  ...['--workspace', WORKSPACE],
  ...['--service', 'booking-ledger', '--team', 'night-desk'],
];

test('a team requests an approval, the owner lists, grants and revokes it', async () => {
  const harness = await createHarness();
  const asked = await harness.runAs(
    ...([TEAM, 'approval', 'request', ...KEY, '--note', 'late keys'] as const),
  );
  assert.equal(asked.status, EXIT_STATUS.done, asked.errors);
  const open = await harness.runAs(
    ...([OWNER, 'approval', 'list', '--state', 'requested'] as const),
  );
  assert.match(
    open.output,
    /night-desk\s+requested\s+lodging-services.*late keys/,
  );
  for (const [verb, state] of [
    ['grant', 'approved'],
    ['revoke', 'revoked'],
  ] as const) {
    const run = await harness.runAs(OWNER, 'approval', verb, ...KEY);
    assert.equal(run.status, EXIT_STATUS.done, run.errors);
    const listed = await harness.run('approval', 'list', '--state', state);
    assert.match(listed.output, /night-desk.*ilze of lodging-services/);
    const again = await harness.runAs(OWNER, 'approval', verb, ...KEY);
    assert.equal(again.status, EXIT_STATUS.alreadySo);
  }
});

test('neither an operator nor another owner nor a team may grant', async () => {
  const harness = await createHarness();
  const other = {...OWNER, team: teamName('others')};
  for (const principal of [OPERATOR, other, TEAM]) {
    const run = await harness.runAs(principal, 'approval', 'grant', ...KEY);
    assert.equal(run.status, EXIT_STATUS.notAllowed);
    assert.match(run.errors, /a target owner of team lodging-services/);
  }
  assert.equal(await harness.generation(), 1);
});

test('forged, wrong-audience and malformed tokens get the same error', async () => {
  const harness = await createHarness();
  const otherHarness = await createHarness();
  const tokens = [
    await otherHarness.sign(OWNER),
    await harness.sign(OWNER, 'ibisbeam-caller'),
    'nonsense',
  ];
  const errors = new Set<string>();
  for (const token of tokens) {
    const run = await harness.runWithToken(token, 'approval', 'grant', ...KEY);
    assert.equal(run.status, EXIT_STATUS.notAllowed);
    errors.add(run.errors);
  }
  assert.equal(errors.size, 1);
  assert.equal(await harness.generation(), 1);
});

test('unknown service, unknown workspace and missing option have distinct errors', async () => {
  const harness = await createHarness();
  const run = (...options: string[]) =>
    harness.runAs(OWNER, 'approval', 'grant', ...options);
  const twice = await run(...KEY, '--service', 'room-availability');
  assert.equal(twice.status, EXIT_STATUS.usage);
  assert.match(twice.errors, /--service.*once/);
  const unknown = await run(
    ...['--workspace', WORKSPACE, '--service', 'nothing', '--team', 'a'],
  );
  assert.equal(unknown.status, EXIT_STATUS.notFound);
  const workspace = await run(
    ...['--workspace', 'x', '--service', 'booking-ledger', '--team', 'a'],
  );
  assert.equal(workspace.status, EXIT_STATUS.notFound);
  const name = await run(
    ...['--workspace', 'Not A Name', '--service', 's', '--team', 'a'],
  );
  assert.equal(name.status, EXIT_STATUS.invalidInput);
  const missing = await run('--workspace', WORKSPACE);
  assert.equal(missing.status, EXIT_STATUS.usage);
  assert.match(missing.errors, /service, team/);
});

test('an operator cannot overwrite existing approvals', async () => {
  const harness = await createHarness();
  const approvals = {kind: 'approvals', approvals: []};
  harness.files.set('folder/approvals.jsonc', JSON.stringify(approvals));
  const run = await harness.run(
    ...['configuration', 'publish', 'folder', '--with-approvals'],
  );
  assert.equal(run.status, EXIT_STATUS.alreadySo);
  assert.equal(await harness.generation(), 1);
});
