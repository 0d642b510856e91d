import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, test} from 'node:test';
import {createSilentLogger, createSystemTimerService} from '@ibisbeam/library';
import {
  type LocalDeployment,
  settleWithin,
  startLocalDeployment,
  writeOperatorFolder,
} from '@ibisbeam/stand-ins';
import {
  EXIT_STATUS,
  createSystemDependencies,
  runCommandLine,
} from '../src/index.js';

const WORKSPACE = 'daugava-scholars-lodging';
const SERVICE = 'room-availability';
/** A change of approvals must be in force at every VM within this time. */
const IN_FORCE_TIMEOUT_MS = 11_000;
const START_TIMEOUT_MS = 60_000;
const STOP_TIMEOUT_MS = 60_000;
const COMMAND_TIMEOUT_MS = 60_000;
const ANSWER_TIMEOUT_MS = 10_000;

const timers = createSystemTimerService();
const folder = mkdtempSync(join(tmpdir(), 'ibisbeam-'));
let deployment: LocalDeployment;

function within<Value>(
  timeoutMs: number,
  awaited: string,
  promise: Promise<Value>,
): Promise<Value> {
  return settleWithin({timers, timeoutMs, awaited}, promise);
}

before(async () => {
  deployment = await within(
    START_TIMEOUT_MS,
    'the deployment to start',
    startLocalDeployment({
      name: 'daugava',
      entryVmCount: 3,
      workerDivisor: 4,
      clientBlockCount: 9,
      timers,
      logger: createSilentLogger(),
      seed: 5,
    }),
  );
  await writeOperatorFolder({
    folder,
    keys: deployment.keys,
    platformUrl: deployment.platformUrl,
    operatorPorts: deployment.vms.map(({entryVm}) => entryVm.operatorAddress),
    callerAddress: deployment.vms[0]!.entryVm.callerAddress,
    workspace: WORKSPACE,
    owner: 'lodging-services',
    callingTeam: 'front-desk',
    newTeam: 'night-desk',
  });
  await deployment.inForce(1);
});
after(async () => {
  rmSync(folder, {recursive: true});
  await within(STOP_TIMEOUT_MS, 'the deployment to stop', deployment.stop());
});

async function run(profile: string, ...commandArguments: readonly string[]) {
  let output = '';
  const status = await within(
    COMMAND_TIMEOUT_MS,
    `the command ${commandArguments.join(' ')}`,
    runCommandLine(
      [...commandArguments, '--profile', join(folder, `${profile}.jsonc`)],
      {
        ...createSystemDependencies(),
        write: text => {
          output += text;
        },
        writeError: text => {
          output += text;
        },
      },
    ),
  );
  return {status, output};
}

function send(vm: number, requestId: string) {
  return within(
    ANSWER_TIMEOUT_MS,
    `the answer of VM ${vm} to ${requestId}`,
    sendUnbounded(vm, requestId),
  );
}

async function sendUnbounded(vm: number, requestId: string) {
  const {callerAddress} = deployment.vms[vm]!.entryVm;
  const text = readFileSync(join(folder, 'environment.sh'), 'utf8');
  const token = /NEW_TEAM_TOKEN='([^']+)'/.exec(text)![1]!;
  const response = await fetch(
    `http://${callerAddress}/v1/workspaces/${WORKSPACE}/services/${SERVICE}/x`,
    {
      headers: {
        authorization: `Bearer ${token}`,
        'ibisbeam-request-id': requestId,
      },
    },
  );
  return {status: response.status, body: await response.text()};
}

async function waitForStatusAtAllVms(
  status: number,
  id: string,
): Promise<void> {
  const endMs = timers.nowMs() + IN_FORCE_TIMEOUT_MS;
  for (const vm of deployment.vms.keys()) {
    while ((await send(vm, `${id}-${vm}`)).status !== status) {
      assert.ok(timers.nowMs() < endMs, `VM ${vm} does not answer ${status}`);
      await timers.sleep(20);
    }
  }
}

test('a granted team may send and a revoked one may not, at every VM', async () => {
  const team = ['--workspace', WORKSPACE, '--service', SERVICE];
  team.push('--team', 'night-desk');
  const asked = await run('team', 'approval', 'request', ...team);
  assert.equal(asked.status, EXIT_STATUS.done, asked.output);
  assert.equal((await send(0, 'unapproved')).status, 403);
  const granted = await run('owner', 'approval', 'grant', ...team);
  assert.equal(granted.status, EXIT_STATUS.done, granted.output);
  await waitForStatusAtAllVms(200, 'granted');
  const revoked = await run('owner', 'approval', 'revoke', ...team);
  assert.equal(revoked.status, EXIT_STATUS.done, revoked.output);
  await waitForStatusAtAllVms(403, 'revoked');
  const {body} = await send(0, 'revoked');
  assert.match(body, /"outcome":"not-run"/);
  const explained = await run('operator', 'explain', 'revoked');
  assert.equal(explained.status, EXIT_STATUS.done, explained.output);
  assert.match(explained.output, /refusal=not-approved/);
});

test('status --all and the burn report work with running VMs', async () => {
  const status = await run('operator', 'status', '--all');
  assert.equal(status.status, EXIT_STATUS.done, status.output);
  assert.match(status.output, /riga\s+room-availability\s+\d+/);
  const burn = await run('operator', 'report', 'burn');
  assert.equal(burn.status, EXIT_STATUS.done, burn.output);
  assert.match(burn.output, /at no cost to the budget: not-approved/);
});

test('during a store outage status works and changes report it', async () => {
  deployment.platform.faults.down = true;
  const status = await run('operator', 'status');
  const set = await run(
    ...(['operator', 'workspace', 'set', WORKSPACE, 'shiftCap=0.05'] as const),
  );
  deployment.platform.faults.down = false;
  assert.equal(status.status, EXIT_STATUS.done, status.output);
  assert.equal(set.status, EXIT_STATUS.storeUnavailable, set.output);
});
