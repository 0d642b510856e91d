import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type ClaimDecision,
  type ClaimEnd,
  requestId,
  serviceName,
  workspaceName,
} from '@ibisbeam/decision';
import {type Fleet, type TestVm, createFleet} from './fixtures/fleet.js';

const ANSWER = {
  status: 201,
  headers: {'content-type': 'application/json'},
  bodyBase64: Buffer.from('{"booking":7}').toString('base64'),
};

async function withFleet(run: (fleet: Fleet) => Promise<void>): Promise<void> {
  const fleet = await createFleet({count: 3});
  try {
    await fleet.publish('first', fleet.document);
    await run(fleet);
  } finally {
    await fleet.stop();
  }
}

async function startVms(fleet: Fleet): Promise<readonly TestVm[]> {
  const vms = [
    await fleet.start(0),
    await fleet.start(1),
    await fleet.start(2),
  ];
  await fleet.waitUntil('peer links between all VMs', () =>
    vms.every(vm => connectedPeerCount(vm) === 2),
  );
  return vms;
}

function connectedPeerCount(vm: TestVm): number {
  const peers = new Set<string>();
  for (const event of vm.events()) {
    if (event.kind === 'peer-connected') {
      peers.add(event.peer);
    } else if (event.kind === 'peer-disconnected') {
      peers.delete(event.peer);
    }
  }
  return peers.size;
}

async function beginClaim(
  vm: TestVm,
  idempotencyKey: string,
  body = 'a room for two',
): Promise<ClaimDecision> {
  const decision = await vm.kernel.ask<'claims', ClaimDecision>(
    'claims',
    reply => ({
      kind: 'begin',
      reply,
      request: {
        key: {
          workspace: workspaceName('daugava-scholars-lodging'),
          service: serviceName('booking-ledger'),
          idempotencyKey,
        },
        request: requestId('request-1'),
        fingerprint: body,
        remainingMs: 10_000,
      },
    }),
  );
  assert.ok(decision, 'the claims task sent no claim decision');
  return decision;
}

async function endClaim(
  vm: TestVm,
  decision: ClaimDecision,
  claimEnd: ClaimEnd,
): Promise<boolean> {
  assert.equal(decision.kind, 'run');
  const {token} = decision as Extract<ClaimDecision, {kind: 'run'}>;
  const ended = await vm.kernel.ask<'claims', {readonly recorded: boolean}>(
    'claims',
    reply => ({kind: 'end', token, end: claimEnd, reply}),
  );
  return ended?.recorded ?? false;
}

function mintTicket(vm: TestVm): Promise<string | undefined> {
  return vm.kernel.ask<'claims', string>('claims', reply => ({
    kind: 'mint-ticket',
    reply,
  }));
}

test('a booking sent again at another VM, and after the first is gone, is replayed', () =>
  withFleet(async fleet => {
    const [first, second, third] = await startVms(fleet);
    const decision = await beginClaim(first!, 'booking-7');
    assert.equal((await beginClaim(second!, 'booking-7')).kind, 'in-progress');
    await endClaim(first!, decision, {kind: 'answered', answer: ANSWER});
    const repeated = await beginClaim(second!, 'booking-7');
    assert.deepEqual(repeated, {kind: 'replay', answer: ANSWER});
    await first!.stop();
    const repeatedLater = await beginClaim(third!, 'booking-7');
    assert.deepEqual(repeatedLater, {kind: 'replay', answer: ANSWER});
  }));

test('a booking costs two writes to the store', () =>
  withFleet(async fleet => {
    const [first] = await startVms(fleet);
    const writesBefore = fleet.platform.writeCount();
    const decision = await beginClaim(first!, 'booking-8');
    await endClaim(first!, decision, {kind: 'answered', answer: ANSWER});
    assert.equal(fleet.platform.writeCount() - writesBefore, 2);
  }));

test('a key reused with another body is refused at every VM', () =>
  withFleet(async fleet => {
    const [first, second] = await startVms(fleet);
    const decision = await beginClaim(first!, 'booking-9');
    await endClaim(first!, decision, {kind: 'answered', answer: ANSWER});
    const reused = await beginClaim(second!, 'booking-9', 'a room for three');
    assert.equal(reused.kind, 'key-reused');
  }));

test('with the store away, a ticket runs once wherever it is sent', () =>
  withFleet(async fleet => {
    const [first, second, third] = await startVms(fleet);
    fleet.platform.faults.down = true;
    const ticket = (await mintTicket(first!))!;
    const decision = await beginClaim(second!, ticket);
    assert.equal((await beginClaim(third!, ticket)).kind, 'in-progress');
    await endClaim(second!, decision, {kind: 'answered', answer: ANSWER});
    const repeated = await beginClaim(third!, ticket);
    assert.deepEqual(repeated, {kind: 'replay', answer: ANSWER});
  }));

test('a ticket whose VM was replaced has an unknown outcome, and never runs', () =>
  withFleet(async fleet => {
    const [first, second] = await startVms(fleet);
    const ticket = (await mintTicket(first!))!;
    const decision = await beginClaim(first!, ticket);
    assert.equal(decision.kind, 'run');
    await first!.stop();
    const replacement = await fleet.start(0, 2, [1, 2]);
    await fleet.waitUntil(
      'peer links of the replacement',
      () => connectedPeerCount(replacement) === 2,
    );
    assert.equal(
      (await beginClaim(replacement, ticket)).kind,
      'outcome-unknown',
    );
    assert.equal((await beginClaim(second!, ticket)).kind, 'outcome-unknown');
  }));

test("with the store away, a caller's own key is refused with a time to come back", () =>
  withFleet(async fleet => {
    const [first] = await startVms(fleet);
    fleet.platform.faults.down = true;
    const decision = await beginClaim(first!, 'booking-10');
    assert.equal(decision.kind, 'unavailable');
    const {outcome, retryAfterMs} = decision as Extract<
      ClaimDecision,
      {kind: 'unavailable'}
    >;
    assert.equal(outcome, 'unknown');
    assert.ok(retryAfterMs > 0);
  }));

test('the end of a booking that the store missed is written when it is back', () =>
  withFleet(async fleet => {
    const [first, second] = await startVms(fleet);
    const decision = await beginClaim(first!, 'booking-11');
    fleet.platform.faults.down = true;
    const recorded = await endClaim(first!, decision, {
      kind: 'answered',
      answer: ANSWER,
    });
    assert.equal(recorded, false);
    const writesBefore = fleet.platform.writeCount();
    fleet.platform.faults.down = false;
    await fleet.waitUntil(
      'the end of the claim to be recorded',
      () => fleet.platform.writeCount() > writesBefore,
    );
    const repeated = await beginClaim(second!, 'booking-11');
    assert.deepEqual(repeated, {kind: 'replay', answer: ANSWER});
  }));

test('a claim whose answer was lost is read back and runs', () =>
  withFleet(async fleet => {
    const [first, second] = await startVms(fleet);
    fleet.platform.faults.lostAnswers = 1;
    assert.equal((await beginClaim(first!, 'booking-12')).kind, 'run');
    assert.equal((await beginClaim(second!, 'booking-12')).kind, 'in-progress');
  }));
