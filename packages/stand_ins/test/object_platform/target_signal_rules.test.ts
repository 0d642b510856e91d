import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type LeavingObservations,
  type PauseObservations,
  findLeavingViolations,
  findPauseViolations,
} from '../../src/index.js';

const PASSED_ON_MS = 1_000;
const DRAIN_MS = 2_500;
const PAUSE_MS = 3_000;

/** One request, sent by the client at this time. */
function observeLeaving(
  sentMs: number,
  changes: Partial<LeavingObservations> = {},
): LeavingObservations {
  return {
    drainMs: DRAIN_MS,
    arrivals: [{attemptId: 'late', atMs: sentMs + 5}],
    passedOn: [{vm: 'edge-0', atMs: PASSED_ON_MS}],
    requestOf: () => ({vm: 'edge-0', sentMs}),
    isExcused: () => false,
    ...changes,
  };
}

/** A refusal at 0 and arrivals of the VM that got it. */
function observePause(
  arrivalsMs: readonly number[],
  changes: Partial<PauseObservations> = {},
): PauseObservations {
  return {
    arrivals: arrivalsMs.map(atMs => ({attemptId: `at-${atMs}`, atMs})),
    statements: [{attemptId: 'refused', atMs: 0, pauseMs: PAUSE_MS}],
    vmOf: () => 'edge-0',
    isExcused: () => false,
    ...changes,
  };
}

describe('the rule for leaving targets', () => {
  const lateMs = PASSED_ON_MS + DRAIN_MS + 1;

  it('allows requests that clients sent within the bound', () => {
    const observed = observeLeaving(PASSED_ON_MS + DRAIN_MS);
    assert.deepEqual(findLeavingViolations(observed), []);
  });

  it('finds a request that a client sent later', () => {
    const [violation] = findLeavingViolations(observeLeaving(lateMs));
    assert.deepEqual(violation, {
      vm: 'edge-0',
      attemptId: 'late',
      afterMs: DRAIN_MS + 1,
    });
  });

  it('counts from the first answer that the VM passed on', () => {
    const passedOn = [
      {vm: 'edge-0', atMs: lateMs},
      {vm: 'edge-0', atMs: PASSED_ON_MS},
    ];
    const observed = observeLeaving(lateMs, {passedOn});
    assert.equal(findLeavingViolations(observed).length, 1);
  });

  it('binds no VM that passed on no such answer', () => {
    const passedOn = [{vm: 'edge-1', atMs: PASSED_ON_MS}];
    const observed = observeLeaving(lateMs, {passedOn});
    assert.deepEqual(findLeavingViolations(observed), []);
  });

  it('excuses a VM that restarted or was frozen', () => {
    const observed = observeLeaving(lateMs, {isExcused: () => true});
    assert.deepEqual(findLeavingViolations(observed), []);
  });
});

describe('the rule for pauses of targets', () => {
  it('allows two requests between half a second and the end', () => {
    const observed = observePause([100, 500, 501, 2_999, 3_000, 3_001]);
    assert.deepEqual(findPauseViolations(observed), []);
  });

  it('finds a third request', () => {
    const [violation] = findPauseViolations(observePause([501, 502, 2_999]));
    assert.deepEqual(violation, {
      vm: 'edge-0',
      fromMs: 0,
      pauseMs: PAUSE_MS,
      arrived: 3,
    });
  });

  it('counts each VM for itself', () => {
    const observed = observePause([600, 700, 800], {
      vmOf: attemptId => (attemptId === 'at-800' ? 'edge-1' : 'edge-0'),
    });
    assert.deepEqual(findPauseViolations(observed), []);
  });

  it('excuses a VM that restarted, was frozen or was cut off', () => {
    const observed = observePause([600, 700, 800], {isExcused: () => true});
    assert.deepEqual(findPauseViolations(observed), []);
  });
});
