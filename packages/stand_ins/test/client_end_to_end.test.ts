import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {type IbisbeamClient, createClient} from '@ibisbeam/client';
import {teamName} from '@ibisbeam/decision';
import {createSilentLogger, createSystemTimerService} from '@ibisbeam/library';
import {type LocalDeployment, startLocalDeployment} from '../src/index.js';

const DEADLINE_MS = 5_000;
const BOOKING = {
  service: 'booking-ledger',
  method: 'POST',
  path: '/bookings',
  body: '{"room":"12"}',
  deadlineMs: DEADLINE_MS,
} as const;

let deployment: LocalDeployment;
let client: IbisbeamClient;

before(async () => {
  deployment = await startLocalDeployment({
    name: 'daugava',
    entryVmCount: 3,
    workerDivisor: 4,
    clientBlockCount: 9,
    timers: createSystemTimerService(),
    logger: createSilentLogger(),
    seed: 11,
    settings: {lookup: {lifetimeMs: 1_000}},
  });
  const token = await deployment.keys.token(
    {kind: 'calling-team', team: teamName('front-desk')},
    'ibisbeam-caller',
  );
  client = createClient({
    workspace: 'daugava-scholars-lodging',
    seeds: deployment.vms.map(({entryVm}) => entryVm.callerAddress),
    token: () => token,
    clientAddress: '64.0.0.7',
  });
  await deployment.inForce(1);
});
after(() => deployment.stop());

function countRuns(key: string): number {
  let runs = 0;
  for (const target of deployment.targets.values()) {
    runs += target.runsByKey().get(key) ?? 0;
  }
  return runs;
}

test('a look-up names entry VMs and a read is answered', async () => {
  const choices = await client.lookUp('room-availability');
  assert.ok(choices.length > 0);
  const answer = await client.call({
    service: 'room-availability',
    method: 'GET',
    path: '/rooms',
    deadlineMs: DEADLINE_MS,
  });
  assert.equal(answer.unsafeCoerce().status, 200);
});

test('a booking that is resent later runs once and brings the same answer', async () => {
  const idempotencyKey = 'booking-4711';
  const first = await client.call({...BOOKING, idempotencyKey});
  const repeated = await client.call({
    ...BOOKING,
    idempotencyKey,
    resend: true,
  });
  assert.equal(repeated.unsafeCoerce().replayed, true);
  assert.deepEqual(repeated.unsafeCoerce().body, first.unsafeCoerce().body);
  assert.equal(countRuns(idempotencyKey), 1);
});

test('a service that the workspace does not use is refused for good', async () => {
  const failure = await client.call({...BOOKING, service: 'nothing'});
  const error = failure.swap().unsafeCoerce();
  assert.equal(error.kind, 'not-run');
  assert.equal(error.reason, 'unknown-service');
  assert.equal(error.attempts, 1);
});

test('while the store is away a ticket names the booking, and it runs once', async () => {
  deployment.platform.faults.down = true;
  const booked = await client.call({...BOOKING, allowTicket: true});
  deployment.platform.faults.down = false;
  const answer = booked.unsafeCoerce();
  assert.equal(answer.status, 201);
  assert.equal(countRuns(answer.idempotencyKey!), 1);
});
