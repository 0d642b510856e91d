import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildConfiguration} from '../support/configuration_fixture.js';
import {
  createSteeringDriver,
  actionsOfKind,
} from '../support/steering_driver.js';

test('a tick at the requested time never requests the same time again', () => {
  for (let start = 0; start < 500; start += 1) {
    const driver = createSteeringDriver();
    driver.nowMs = start * 0.1 + 0.7;
    driver.step({
      kind: 'configuration-accepted',
      configuration: buildConfiguration({}),
    });
    for (let turn = 0; turn < 20; turn += 1) {
      const [wake] = actionsOfKind(driver.step({kind: 'tick'}), 'wake-at');
      if (!wake) {
        break;
      }
      assert.ok(wake.nowMs > driver.nowMs, `at ${driver.nowMs}`);
      driver.nowMs = wake.nowMs;
    }
  }
});
