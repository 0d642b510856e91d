import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type Rollout,
  type RolloutOptions,
  createRollout,
} from '../../src/index.js';
import {checkRollout} from './rollout_property.js';

const SEED = 20_261_203;
const SCHEDULES = 2_000;

test('in 2,000 schedules generations only rise and reach every VM', () => {
  const run = checkRollout(SEED, SCHEDULES);
  assert.equal(run.failed, false, run.report);
  for (const what of ['in force', 'freshness cut-off', 'freshness behind']) {
    const count = run.reached.get(what) ?? 0;
    assert.ok(count > SCHEDULES / 20, `${what} was reached ${count} times`);
  }
});

/** Accepts the head in the store even if it is older than the one in force. */
function createRollingBackRollout(options: RolloutOptions): Rollout {
  let inner = createRollout(options);
  return {
    status: nowMs => inner.status(nowMs),
    step: (event, nowMs) => {
      const inForce = inner.status(nowMs).generation ?? 0;
      if (event.kind === 'store-head' && event.head!.generation < inForce) {
        inner = createRollout(options);
        return [
          ...inner.step({kind: 'started'}, nowMs),
          ...inner.step(event, nowMs),
        ];
      }
      return inner.step(event, nowMs);
    },
  };
}

test('the schedules detect a state machine that accepts a lower generation', () => {
  const run = checkRollout(SEED, SCHEDULES, createRollingBackRollout);
  assert.match(run.report, /fell from/);
});
