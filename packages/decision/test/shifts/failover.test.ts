import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type SteeringAction,
  createFailoverRegistry,
  computeFailoverFraction,
} from '../../src/index.js';
import {
  KURZEME,
  POLICY,
  RIGA,
  buildConfiguration,
  vmName,
} from '../support/configuration_fixture.js';
import {
  buildMembershipView,
  createSteeringDriver,
  actionsOfKind,
} from '../support/steering_driver.js';

const {intervalMs} = POLICY.shift;

function driverWithSilentRegion(policy = {}) {
  const driver = createSteeringDriver();
  const configuration = buildConfiguration({policy});
  driver.step({kind: 'configuration-accepted', configuration});
  driver.step({
    kind: 'membership-changed',
    view: buildMembershipView(configuration, {silent: [KURZEME]}),
  });
  return driver;
}

function servedCohorts(
  driver: ReturnType<typeof createSteeringDriver>,
): number {
  let served = 0;
  for (let cohort = 0; cohort < 1_000; cohort += 10) {
    const actions = driver.request({homeRegion: KURZEME, cohort});
    const [send] = actionsOfKind(actions, 'send-attempt');
    if (send) {
      served += 1;
      driver.finishAttempt(send, {kind: 'answered', status: 200});
    }
  }
  return served;
}

const failoverStartsOf = (actions: readonly SteeringAction[]) =>
  actionsOfKind(actions, 'note').filter(
    ({note}) => note.kind === 'failover-started',
  );

test('starts a failover only after peers had time to report an existing one', () => {
  const driver = driverWithSilentRegion();
  assert.equal(failoverStartsOf(driver.advance(900)).length, 0);
  assert.equal(failoverStartsOf(driver.advance(200)).length, 1);
});

test('continues the recorded ramp on a VM that was replaced', () => {
  const driver = driverWithSilentRegion();
  const startedAtWallMs = driver.wallMs - 5 * intervalMs;
  driver.step({
    kind: 'peer-message',
    from: vmName(0, 1),
    message: {kind: 'failover-known', from: KURZEME, startedAtWallMs},
  });
  assert.equal(failoverStartsOf(driver.advance(2_000)).length, 0);
  const served = servedCohorts(driver);
  assert.ok(served > 30 && served <= 50, `${served} of 100 served`);
});

test('refuses cohorts beyond the ramp as not-run with a retry time', () => {
  const driver = driverWithSilentRegion();
  driver.advance(2_000);
  let refused = 0;
  for (let cohort = 0; cohort < 1_000; cohort += 50) {
    const actions = driver.request({homeRegion: KURZEME, cohort});
    for (const refusal of actionsOfKind(actions, 'refuse')) {
      assert.equal(refusal.reason, 'shift-cap-reached');
      assert.equal(refusal.outcome, 'not-run');
      assert.ok(refusal.retryAfterMs! > 0);
      refused += 1;
    }
  }
  assert.ok(refused > 0);
});

test('serves no cohorts of a silent region where the policy disables failover', () => {
  const driver = driverWithSilentRegion({
    shift: {...POLICY.shift, failover: false},
  });
  driver.advance(20 * intervalMs);
  assert.equal(servedCohorts(driver), 0);
});

test('keeps the later of two recorded starts', () => {
  const failovers = createFailoverRegistry();
  failovers.merge({from: RIGA, startedAtWallMs: 100});
  assert.equal(failovers.merge({from: RIGA, startedAtWallMs: 50}), false);
  assert.equal(failovers.merge({from: RIGA, startedAtWallMs: 200}), true);
  assert.equal(failovers.get(RIGA)?.startedAtWallMs, 200);
});

test('ramps back at the same rate as it ramped up', () => {
  const fraction = (wallMs: number) =>
    computeFailoverFraction(
      {from: RIGA, startedAtWallMs: 0, endedAtWallMs: 3 * intervalMs},
      POLICY.shift,
      1,
      wallMs,
    );
  assert.ok(Math.abs(fraction(3 * intervalMs) - 0.3) < 1e-9);
  assert.ok(Math.abs(fraction(4 * intervalMs) - 0.2) < 1e-9);
  assert.equal(fraction(7 * intervalMs), 0);
});

test('continues from the moved fraction when the region fails again', () => {
  const failovers = createFailoverRegistry();
  const rampMs = 10 * intervalMs;
  failovers.start(RIGA, 0, rampMs);
  failovers.end(RIGA, 3 * intervalMs);
  const again = failovers.start(RIGA, 4 * intervalMs, rampMs);
  const moved = computeFailoverFraction(again, POLICY.shift, 1, 4 * intervalMs);
  assert.ok(Math.abs(moved - 0.2) < 1e-9);
});
