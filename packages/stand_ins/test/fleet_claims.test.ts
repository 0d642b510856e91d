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

async function startAll(fleet: Fleet): Promise<readonly TestVm[]> {
  const vms = [
    await fleet.start(0),
    await fleet.start(1),
    await fleet.start(2),
  ];
  await fleet.until('links between all', () =>
    vms.every(vm => connectedTo(vm) === 2),
  );
  return vms;
}

function connectedTo(vm: TestVm): number {
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

async function begin(
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
  assert.ok(decision, 'the claims task did not answer');
  return decision;
}

async function end(
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

function mint(vm: TestVm): Promise<string | undefined> {
  return vm.kernel.ask<'claims', string>('claims', reply => ({
    kind: 'mint-ticket',
    reply,
  }));
}

test('a booking sent again at another VM, and after the first is gone, is replayed', () =>
  withFleet(async fleet => {
    const [first, second, third] = await startAll(fleet);
    const decision = await begin(first!, 'booking-7');
    assert.equal((await begin(second!, 'booking-7')).kind, 'in-progress');
    await end(first!, decision, {kind: 'answered', answer: ANSWER});
    const again = await begin(second!, 'booking-7');
    assert.deepEqual(again, {kind: 'replay', answer: ANSWER});
    await first!.stop();
    const later = await begin(third!, 'booking-7');
    assert.deepEqual(later, {kind: 'replay', answer: ANSWER});
  }));

test('a booking costs two writes to the store', () =>
  withFleet(async fleet => {
    const [first] = await startAll(fleet);
    const before = fleet.platform.writeCount();
    const decision = await begin(first!, 'booking-8');
    await end(first!, decision, {kind: 'answered', answer: ANSWER});
    assert.equal(fleet.platform.writeCount() - before, 2);
  }));

test('a key reused with another body is refused at every VM', () =>
  withFleet(async fleet => {
    const [first, second] = await startAll(fleet);
    const decision = await begin(first!, 'booking-9');
    await end(first!, decision, {kind: 'answered', answer: ANSWER});
    const reused = await begin(second!, 'booking-9', 'a room for three');
    assert.equal(reused.kind, 'key-reused');
  }));

test('with the store away, a ticket runs once wherever it is sent', () =>
  withFleet(async fleet => {
    const [first, second, third] = await startAll(fleet);
    fleet.platform.faults.down = true;
    const ticket = (await mint(first!))!;
    const decision = await begin(second!, ticket);
    assert.equal((await begin(third!, ticket)).kind, 'in-progress');
    await end(second!, decision, {kind: 'answered', answer: ANSWER});
    const again = await begin(third!, ticket);
    assert.deepEqual(again, {kind: 'replay', answer: ANSWER});
  }));

test('a ticket whose VM was replaced has an unknown outcome, and never runs', () =>
  withFleet(async fleet => {
    const [first, second] = await startAll(fleet);
    const ticket = (await mint(first!))!;
    const decision = await begin(first!, ticket);
    assert.equal(decision.kind, 'run');
    await first!.stop();
    const replaced = await fleet.start(0, 2, [1, 2]);
    await fleet.until('links', () => connectedTo(replaced) === 2);
    assert.equal((await begin(replaced, ticket)).kind, 'outcome-unknown');
    assert.equal((await begin(second!, ticket)).kind, 'outcome-unknown');
  }));

test("with the store away, a caller's own key is refused with a time to come back", () =>
  withFleet(async fleet => {
    const [first] = await startAll(fleet);
    fleet.platform.faults.down = true;
    const decision = await begin(first!, 'booking-10');
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
    const [first, second] = await startAll(fleet);
    const decision = await begin(first!, 'booking-11');
    fleet.platform.faults.down = true;
    const recorded = await end(first!, decision, {
      kind: 'answered',
      answer: ANSWER,
    });
    assert.equal(recorded, false);
    const before = fleet.platform.writeCount();
    fleet.platform.faults.down = false;
    await fleet.until(
      'the late record',
      () => fleet.platform.writeCount() > before,
    );
    const again = await begin(second!, 'booking-11');
    assert.deepEqual(again, {kind: 'replay', answer: ANSWER});
  }));

test('a claim whose answer was lost is read back and runs', () =>
  withFleet(async fleet => {
    const [first, second] = await startAll(fleet);
    fleet.platform.faults.lostAnswers = 1;
    assert.equal((await begin(first!, 'booking-12')).kind, 'run');
    assert.equal((await begin(second!, 'booking-12')).kind, 'in-progress');
  }));
