import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSlotLedger} from '../../src/index.js';
import {
  SERVICE,
  buildConfiguration,
  targetName,
  vmName,
} from '../support/configuration_fixture.js';
import {
  buildMembershipView,
  createSteeringDriver,
  actionsOfKind,
} from '../support/steering_driver.js';

const TARGET = targetName(0, 0);
const LENDER = vmName(0, 1);

test('uses a borrowed slot only for requests that end before the lease', () => {
  const ledger = createSlotLedger();
  const slots = new Map([[TARGET, 1]]);
  ledger.borrow({lender: LENDER, ask: 1, slots, endsAtMs: 100}, 0);
  assert.equal(ledger.acquire(TARGET, 0, 100), undefined);
  assert.ok(ledger.acquire(TARGET, 0, 99));
});

test('does not use lent slots until the lease is reclaimed', () => {
  const ledger = createSlotLedger();
  ledger.setOwnShare(new Map([[TARGET, 2]]));
  const lease = {borrower: LENDER, ask: 1, reclaimedAtMs: 100};
  ledger.lend(lease, 1, () => true);
  assert.ok(ledger.acquire(TARGET, 0, 10));
  assert.equal(ledger.acquire(TARGET, 0, 10), undefined);
  ledger.expire(100);
  assert.ok(ledger.acquire(TARGET, 100, 110));
});

test('measures a lease from the request for slots, not from the grant', () => {
  const driver = createSteeringDriver({
    parameters: {poolLoadLifetimeMs: 60_000},
  });
  const configuration = buildConfiguration({
    vms: [2, 0, 0],
    slots: [[8], [], []],
  });
  driver.step({kind: 'configuration-accepted', configuration});
  driver.step({
    kind: 'membership-changed',
    view: buildMembershipView(configuration),
  });
  const from = LENDER;
  driver.step({
    kind: 'peer-message',
    from,
    message: {kind: 'pool-load', pools: [[SERVICE, 4, 4]]},
  });
  const sends = actionsOfKind(
    driver.request({deadlineMs: 9_000}),
    'send-attempt',
  );
  assert.equal(sends.length, 1);
  const messages = actionsOfKind(
    driver.request({deadlineMs: 9_000}),
    'send-to-peer',
  );
  const wanted = messages.map(action => action.message);
  const ask = wanted.find(message => message.kind === 'slots-wanted');
  assert.ok(ask?.kind === 'slots-wanted');
  const leaseMs = 3_000;
  driver.nowMs += 2_500;
  driver.step({
    kind: 'peer-message',
    from,
    message: {...ask, kind: 'slots-granted', slots: [[TARGET, 2]], leaseMs},
  });
  const usable = () =>
    driver.steering.status({nowMs: driver.nowMs, wallMs: 0}).pools[0]!
      .usableSlots;
  const during = usable();
  driver.advance(600);
  assert.ok(usable() < during);
});
