import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type AttemptHistory,
  classifyPeerAnswer,
  decideAfterRelay,
} from '../../src/index.js';

const LOOK_UP: AttemptHistory = {
  routeKind: 'idempotent',
  maximumAttempts: 2,
  possiblyExecuted: 1,
  tried: 1,
  replayable: true,
  timeLeftMs: 500,
};
const BOOKING: AttemptHistory = {...LOOK_UP, routeKind: 'non-idempotent'};

describe('outcome of a relayed request', () => {
  for (const status of [200, 404, 500, 503, 504]) {
    it(`delivers a target’s ${status}`, () => {
      const outcome = classifyPeerAnswer(status, true);
      assert.deepEqual(decideAfterRelay(outcome, LOOK_UP), {kind: 'deliver'});
    });
  }

  for (const status of [400, 404, 413]) {
    it(`delivers a peer’s own ${status}`, () => {
      const outcome = classifyPeerAnswer(status, false);
      assert.deepEqual(decideAfterRelay(outcome, BOOKING), {kind: 'deliver'});
    });
  }

  for (const status of [408, 421, 429, 503]) {
    it(`tries a booking at another peer after a peer’s own ${status}`, () => {
      const outcome = classifyPeerAnswer(status, false);
      const history = {...BOOKING, possiblyExecuted: 0};
      assert.deepEqual(decideAfterRelay(outcome, history), {
        kind: 'try-another',
        costsBudget: true,
      });
    });
  }

  it('promises nothing after a peer’s own 502 or 504', () => {
    for (const [status, expected] of [
      [500, 502],
      [502, 502],
      [504, 504],
    ] as const) {
      const outcome = classifyPeerAnswer(status, false);
      for (const history of [LOOK_UP, BOOKING]) {
        assert.deepEqual(decideAfterRelay(outcome, history), {
          kind: 'fail',
          status: expected,
        });
      }
    }
  });

  it('repeats only a look-up after a broken connection', () => {
    const outcome = {kind: 'broken', cause: 'reset'} as const;
    assert.equal(decideAfterRelay(outcome, LOOK_UP).kind, 'try-another');
    assert.deepEqual(decideAfterRelay(outcome, BOOKING), {
      kind: 'fail',
      status: 502,
    });
  });

  it('moves on for free from a peer that refuses connections', () => {
    const outcome = {kind: 'not-sent', cause: 'refused'} as const;
    const history = {...BOOKING, possiblyExecuted: 0};
    assert.deepEqual(decideAfterRelay(outcome, history), {
      kind: 'try-another',
      costsBudget: false,
    });
  });

  it('delivers no success without the seal of a target', () => {
    assert.equal(classifyPeerAnswer(200, false).kind, 'broken');
  });
});
