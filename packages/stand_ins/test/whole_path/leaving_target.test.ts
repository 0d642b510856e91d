/** Detection of a leaving target by health polling, with the real steering. */
import assert from 'node:assert/strict';
import {after, before, it} from 'node:test';
import type {SteeringStatus, TargetId} from '@ibisbeam/decision';
import {createSilentLogger, createSystemTimerService} from '@ibisbeam/library';
import {
  type LocalDeployment,
  pollUntil,
  startLocalDeployment,
} from '../../src/index.js';

const NOTICE_TIMEOUT_MS = 30_000;
const timers = createSystemTimerService();
let deployment: LocalDeployment;

before(async () => {
  deployment = await startLocalDeployment({
    name: 'daugava',
    entryVmCount: 1,
    workerDivisor: 4,
    clientBlockCount: 3,
    timers,
    logger: createSilentLogger(),
    seed: 1,
    settings: {
      lookup: {lifetimeMs: 1_000},
      membership: {heartbeatIntervalMs: 50, suspectAfterMs: 1_000},
    },
  });
});
after(() => deployment.stop());

async function readLeavingTargets(): Promise<readonly TargetId[]> {
  const status = await deployment.vms[0]!.kernel.ask<
    'forwarding',
    {readonly steering: SteeringStatus}
  >('forwarding', reply => ({kind: 'status', reply}));
  return status?.steering.leavingTargets ?? [];
}

it('a target that says in its health answer that it leaves is noticed without any request', async () => {
  const targetId = 'room-availability-1' as TargetId;
  assert.deepEqual(await readLeavingTargets(), []);
  deployment.targets.get(targetId)!.faults.leaving = true;
  await pollUntil(
    {timers, timeoutMs: NOTICE_TIMEOUT_MS, awaited: `${targetId} to leave`},
    async () => (await readLeavingTargets()).includes(targetId),
  );
  assert.deepEqual(await readLeavingTargets(), [targetId]);
});
