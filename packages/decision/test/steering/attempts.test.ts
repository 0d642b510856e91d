import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type SteeringAction, vmId} from '../../src/index.js';
import {
  KURZEME,
  RIGA,
  buildConfiguration,
  targetName,
  vmName,
} from '../support/configuration_fixture.js';
import {
  actionsOfKind,
  buildMembershipView,
  createSteeringDriver,
} from '../support/steering_driver.js';

function createReadyDriver(
  options: Parameters<typeof buildConfiguration>[0] = {},
) {
  const driver = createSteeringDriver();
  const configuration = buildConfiguration(options);
  driver.step({kind: 'configuration-accepted', configuration});
  driver.step({
    kind: 'membership-changed',
    view: buildMembershipView(configuration),
  });
  return driver;
}

const sends = (actions: readonly SteeringAction[]) =>
  actionsOfKind(actions, 'send-attempt');
const refusals = (actions: readonly SteeringAction[]) =>
  actionsOfKind(actions, 'refuse');

test('sends a request of its own region to a target in that region', () => {
  const [send] = sends(createReadyDriver().request());
  assert.equal(send?.destination.kind, 'target');
});

test('refuses requests as not run if it has no configuration', () => {
  const [refusal] = refusals(createSteeringDriver().request());
  assert.equal(refusal?.reason, 'no-configuration');
  assert.equal(refusal?.outcome, 'not-run');
});

test('refuses new requests while its configuration may be stale', () => {
  const driver = createReadyDriver();
  driver.step({kind: 'freshness-changed', fresh: false});
  const [refusal] = refusals(driver.request());
  assert.equal(refusal?.reason, 'configuration-stale');
  assert.equal(refusal?.outcome, 'not-run');
  driver.step({kind: 'freshness-changed', fresh: true});
  assert.equal(sends(driver.request()).length, 1);
});

test('relays a request to a VM of its home region', () => {
  const [send] = sends(createReadyDriver().request({homeRegion: KURZEME}));
  assert.ok(send?.destination.kind === 'relay');
  assert.equal(send.destination.region, KURZEME);
});

test('never relays a relayed request again', () => {
  const driver = createReadyDriver({slots: [[1], [6], [6]], vms: [1, 1, 1]});
  const relayedFrom = {vm: vmName(1, 0), region: KURZEME};
  for (let count = 0; count < 10; count += 1) {
    for (const send of sends(driver.request({relayedFrom}))) {
      assert.equal(send.destination.kind, 'target');
    }
  }
});

test('never exceeds its own slots at a target', () => {
  const driver = createReadyDriver({vms: [1, 1, 1], slots: [[2, 3], [6], [6]]});
  const counts = new Map<string, number>();
  for (let count = 0; count < 40; count += 1) {
    for (const {destination} of sends(driver.request())) {
      assert.ok(destination.kind === 'target');
      const {target} = destination;
      counts.set(target, (counts.get(target) ?? 0) + 1);
    }
  }
  assert.ok((counts.get(targetName(0, 0)) ?? 0) <= 2);
  assert.ok((counts.get(targetName(0, 1)) ?? 0) <= 3);
});

test('keeps the slot of a cancelled attempt for the grace period', () => {
  const driver = createReadyDriver({vms: [1, 1, 1], slots: [[1], [6], [6]]});
  const [send] = sends(driver.request());
  driver.finishAttempt(send!, {kind: 'cancelled', sent: true});
  assert.equal(sends(driver.request()).length, 0);
  assert.equal(sends(driver.advance(300)).length, 1);
});

test('retries an idempotent request at another target', () => {
  const driver = createReadyDriver({vms: [1, 1, 1]});
  const [first] = sends(driver.request());
  const [second] = sends(driver.finishAttempt(first!, {kind: 'timed-out'}));
  assert.ok(second);
  assert.notDeepEqual(second.destination, first!.destination);
});

test('never retries a non-idempotent request that may have run', () => {
  for (const kind of ['broken', 'timed-out'] as const) {
    const driver = createReadyDriver();
    const [first] = sends(driver.request({idempotent: false}));
    const after = driver.finishAttempt(first!, {kind, cause: 'reset'} as never);
    assert.equal(sends(after).length, 0);
    assert.equal(refusals(after)[0]?.outcome, 'unknown');
  }
});

test('retries a non-idempotent request that was shed', () => {
  const driver = createReadyDriver();
  const [first] = sends(driver.request({idempotent: false}));
  const after = driver.finishAttempt(first!, {kind: 'shed'});
  assert.equal(sends(after).length, 1);
});

test('limits retries to a tenth of the requests in a full outage', () => {
  const driver = createReadyDriver();
  let attempts = 0;
  const requests = 1_000;
  for (let count = 0; count < requests; count += 1) {
    let open = sends(driver.request());
    while (open.length > 0) {
      attempts += open.length;
      open = sends(
        driver.finishAttempt(open[0]!, {kind: 'not-sent', cause: 'refused'}),
      );
    }
    driver.advance(5);
  }
  assert.ok(attempts <= requests * 1.1);
});

test('sends nothing to a target from its first leaving signal on', () => {
  const driver = createReadyDriver();
  const leaving = targetName(0, 0);
  driver.step({kind: 'target-leaving', target: leaving, source: 'refusal'});
  for (let count = 0; count < 30; count += 1) {
    for (const {destination} of sends(driver.request())) {
      assert.notDeepEqual(destination, {kind: 'target', target: leaving});
    }
  }
});

test('notifies the VMs of its region of a leaving target', () => {
  const messages = actionsOfKind(
    createReadyDriver().step({
      kind: 'target-leaving',
      target: targetName(0, 0),
      source: 'health-answer',
    }),
    'send-to-peer',
  );
  const told = messages.map(action => action.to).sort();
  assert.deepEqual(told, [vmId(`${RIGA}-2`), vmId(`${RIGA}-3`)]);
});

test('restores a leaving target only after 30 s of healthy reports', () => {
  const driver = createReadyDriver({vms: [1, 1, 1], slots: [[6], [6], [6]]});
  const target = targetName(0, 0);
  const report = {target, inFlight: 0, slots: 6, healthy: true, leaving: false};
  driver.step({kind: 'target-leaving', target, source: 'platform-list'});
  driver.step({kind: 'target-reported', report});
  driver.advance(5_000);
  driver.step({kind: 'target-reported', report});
  assert.equal(sends(driver.request()).length, 0);
  driver.advance(30_000);
  driver.step({kind: 'target-reported', report});
  assert.equal(sends(driver.request()).length, 1);
});
