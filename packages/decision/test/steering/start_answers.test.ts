import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  buildConfiguration,
  targetName,
  vmName,
} from '../support/configuration_fixture.js';
import {
  actionsOfKind,
  buildMembershipView,
  createSteeringDriver,
} from '../support/steering_driver.js';

/** The `settledForMs` that a VM reports after applying two configurations. */
function settledForMsAfter(second: Parameters<typeof buildConfiguration>[0]) {
  const driver = createSteeringDriver();
  const configuration = buildConfiguration({generation: 1});
  driver.step({kind: 'configuration-accepted', configuration});
  driver.step({
    kind: 'membership-changed',
    view: buildMembershipView(configuration),
  });
  driver.advance(60_000);
  driver.step({
    kind: 'configuration-accepted',
    configuration: buildConfiguration(second),
  });
  driver.advance(40);
  const [answer] = actionsOfKind(
    driver.step({
      kind: 'peer-message',
      from: vmName(0, 1),
      message: {kind: 'failovers-wanted', incarnation: 'second'},
    }),
    'send-to-peer',
  )
    .map(action => action.message)
    .filter(message => message.kind === 'start-answer');
  assert.ok(answer);
  return answer.settledForMs;
}

const DRAIN = {
  id: 'drain-1',
  scope: {kind: 'target', target: targetName(0, 0)},
  startAtMs: 0,
  rampMs: 0,
  plannedBy: 'operator',
} as const;

test('a configuration that only adds a drain delays no started VM', () => {
  assert.equal(settledForMsAfter({generation: 2, drains: [DRAIN]}), undefined);
});

test('reports how long a changed slot division has been in use', () => {
  const slots = [[6, 6, 6, 6, 6, 6, 6], [6], [6]];
  assert.equal(settledForMsAfter({generation: 2, slots}), 40);
});

test('treats a skipped generation as a changed slot division', () => {
  assert.equal(settledForMsAfter({generation: 3, drains: [DRAIN]}), 40);
});
