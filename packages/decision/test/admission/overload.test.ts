import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type SteeringAction, createLinkBudgets} from '../../src/index.js';
import {
  KURZEME,
  OTHER_WORKSPACE,
  RIGA,
  buildConfiguration,
  vmName,
} from '../support/configuration_fixture.js';
import {
  buildMembershipView,
  createSteeringDriver,
  actionsOfKind,
} from '../support/steering_driver.js';

const sends = (actions: readonly SteeringAction[]) =>
  actionsOfKind(actions, 'send-attempt');
const refusals = (actions: readonly SteeringAction[]) =>
  actionsOfKind(actions, 'refuse');

/** A VM with one target of two slots that has left slow start. */
function createReadyDriver(
  options: Parameters<typeof buildConfiguration>[0] = {},
) {
  const driver = createSteeringDriver();
  const configuration = buildConfiguration({
    vms: [1, 1, 1],
    slots: [[2], [2], [2]],
    ...options,
  });
  driver.step({kind: 'configuration-accepted', configuration});
  driver.step({
    kind: 'membership-changed',
    view: buildMembershipView(configuration),
  });
  for (let count = 0; count < 10; count += 1) {
    const [send] = sends(driver.request());
    driver.nowMs += 20;
    driver.finishAttempt(send!, {kind: 'answered', status: 200});
  }
  return driver;
}

test('drops the lowest priority first when the queue is full', () => {
  const driver = createReadyDriver({otherPolicy: {priority: 1}});
  for (let count = 0; count < 2 + 4; count += 1) {
    driver.request({workspace: OTHER_WORKSPACE});
  }
  const actions = driver.request();
  const [refusal] = refusals(actions);
  assert.equal(refusal?.reason, 'region-full');
  assert.notEqual(refusal.request, 'request-17');
  assert.ok(refusal.retryAfterMs! > 0);
});

test('serves the higher priority first when a slot becomes free', () => {
  const driver = createReadyDriver({otherPolicy: {priority: 9}});
  const [running] = sends(driver.request());
  driver.request();
  driver.request();
  driver.request({workspace: OTHER_WORKSPACE});
  const [next] = sends(
    driver.finishAttempt(running!, {kind: 'answered', status: 200}),
  );
  assert.equal(next?.request, 'request-14');
});

test('refuses at once a request that cannot meet its deadline', () => {
  const driver = createReadyDriver();
  driver.request();
  driver.request();
  const actions = driver.request({deadlineMs: driver.nowMs + 15});
  assert.equal(refusals(actions)[0]?.reason, 'deadline-too-short');
  assert.equal(refusals(actions)[0]?.outcome, 'not-run');
});

test('limits a workspace to its pool fraction while another is waiting', () => {
  const driver = createReadyDriver({policy: {maximumPoolFraction: 0.5}});
  driver.request({workspace: OTHER_WORKSPACE, deadlineMs: driver.nowMs + 50});
  driver.request();
  const [refusal] = refusals(driver.request());
  assert.equal(refusal?.reason, 'workspace-share-used');
});

test('lets a workspace use a whole pool while no other needs it', () => {
  const driver = createReadyDriver({policy: {maximumPoolFraction: 0.5}});
  driver.request();
  assert.equal(sends(driver.request()).length, 1);
});

test('keeps long responses within the usable rate of a link', () => {
  const links = createLinkBudgets({region: RIGA});
  links.configure(buildConfiguration({vms: [2, 1, 1]}));
  const answer = {
    bytes: 10_000_000,
    remainingMs: 2_000,
    trafficClass: 'bulk' as const,
  };
  const usableBytesPerSecond = (4_000_000_000 * 0.5) / 8 / 2;
  let reserved = 0;
  for (let count = 0; count < 1_000; count += 1) {
    const pace = links.reserve(KURZEME, answer, 0);
    reserved += pace?.bytesPerSecond ?? 0;
  }
  assert.ok(reserved > 0 && reserved <= usableBytesPerSecond);
});

test('leaves link capacity for interactive responses beside bulk ones', () => {
  const links = createLinkBudgets({region: RIGA});
  links.configure(buildConfiguration());
  const answer = {bytes: 10_000_000, remainingMs: 2_000};
  for (let count = 0; count < 1_000; count += 1) {
    links.reserve(KURZEME, {...answer, trafficClass: 'bulk'}, 0);
  }
  const small = {bytes: 1_000, remainingMs: 100};
  assert.ok(links.reserve(KURZEME, {...small, trafficClass: 'interactive'}, 1));
});

test('sends pool loads to a bounded number of peers in rotation', () => {
  const driver = createSteeringDriver({
    parameters: {poolLoadMessagesPerInterval: 2},
  });
  const configuration = buildConfiguration({vms: [6, 0, 0]});
  driver.step({kind: 'configuration-accepted', configuration});
  const notified = new Set<string>();
  for (let interval = 0; interval < 3; interval += 1) {
    const loads = actionsOfKind(driver.advance(1_000), 'send-to-peer').filter(
      ({message}) => message.kind === 'pool-load',
    );
    assert.equal(loads.length, 2);
    loads.forEach(({to}) => notified.add(to));
  }
  assert.equal(notified.size, 5);
  assert.ok(!notified.has(vmName(0, 0)));
});
