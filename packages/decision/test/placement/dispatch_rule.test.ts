import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type DispatchInput,
  createClientRetryDetector,
  decideDispatch,
} from '../../src/index.js';

/** A look-up with an objective of 200 ms and a timeout of a second. */
const IDLE: DispatchInput = {
  expectedMs: 75,
  waitMs: 0,
  queueMs: 0,
  objectiveMs: 200,
  objectiveLeftMs: 184,
  deadlineLeftMs: 1_000,
  heldMs: 0,
  clientTimeoutMs: 1_000,
  isRetry: false,
};

describe('more work than slots', () => {
  it('sends what can be in time, also behind a short queue', () => {
    const answer = decideDispatch({
      ...IDLE,
      expectedMs: 170,
      waitMs: 95,
      queueMs: 95,
    });
    assert.deepEqual(answer, {kind: 'send', urgency: 'in-time'});
  });

  it('does not let late work queue before work in time', () => {
    const late = {...IDLE, expectedMs: 300, waitMs: 225, queueMs: 225};
    assert.equal(decideDispatch(late).kind, 'hold');
    assert.equal(decideDispatch({...late, heldMs: 400}).kind, 'refuse');
  });

  it('serves late work in free slots', () => {
    const answer = decideDispatch({...IDLE, expectedMs: 260});
    assert.deepEqual(answer, {kind: 'send', urgency: 'late'});
  });

  it('serves it there too if past answers were a little late', () => {
    const answer = decideDispatch({...IDLE, expectedMs: 265, waitMs: 5});
    assert.deepEqual(answer, {kind: 'send', urgency: 'late'});
  });

  it('refuses at once what cannot be answered before the deadline', () => {
    const answer = decideDispatch({
      ...IDLE,
      expectedMs: 240,
      deadlineLeftMs: 200,
      objectiveLeftMs: -10,
    });
    assert.deepEqual(answer, {kind: 'refuse'});
  });

  it('lets a client that came back wait a little rather than refuse it again', () => {
    const returned = {
      ...IDLE,
      expectedMs: 110,
      waitMs: 35,
      queueMs: 35,
      objectiveLeftMs: -200,
      deadlineLeftMs: 600,
    };
    assert.deepEqual(decideDispatch({...returned, isRetry: true}), {
      kind: 'send',
      urgency: 'retry',
    });
    assert.equal(decideDispatch(returned).kind, 'hold');
  });

  it('knows a client that came back by the time it has left', () => {
    const patience = createClientRetryDetector();
    assert.equal(patience.sinceFirstAttemptMs('rooms', 1_200), 0);
    assert.equal(patience.sinceFirstAttemptMs('rooms', 900), 300);
    assert.equal(patience.sinceFirstAttemptMs('rooms', 1_199), 0);
    assert.equal(patience.sinceFirstAttemptMs('packs', 900), 0);
  });
});
