import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {NO_RUNS, createSurvivedRuns} from '../../src/index.js';

describe('the time that targets spend on a request', () => {
  // Guards against a mean that hides what has just become popular.
  it('is measured at its peak', () => {
    const runs = createSurvivedRuns();
    runs.record('a1', 40, 0);
    for (let index = 0; index < 10; index += 1) {
      runs.record('a1', 100, 5_000 + index);
    }
    assert.deepEqual(runs.peak('a1', 6_000), {
      runsPerSecond: 10,
      msPerSecond: 1_000,
    });
    assert.deepEqual(runs.peak('b2', 6_000), NO_RUNS);
  });

  it('is forgotten after ten to twenty seconds', () => {
    const runs = createSurvivedRuns();
    runs.record('a1', 40, 9_000);
    assert.equal(runs.peak('a1', 19_500).msPerSecond, 40);
    assert.equal(runs.peak('a1', 29_500).msPerSecond, 0);
  });

  it('is kept for a bounded number of requests', () => {
    const runs = createSurvivedRuns();
    runs.record('first', 40, 0);
    for (let index = 0; index < 4_000; index += 1) {
      runs.record(`other-${index}`, 40, 1);
    }
    assert.equal(runs.peak('first', 1).msPerSecond, 0);
    assert.equal(runs.peak('other-0', 1).msPerSecond, 40);
  });
});
