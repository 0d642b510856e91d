import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSurvivedRuns} from '../../src/index.js';

describe('the time that targets spend on a request', () => {
  // Guards against a mean that hides what has just become popular.
  it('is measured at its peak', () => {
    const runs = createSurvivedRuns();
    runs.record('a1', 40, 0);
    for (let index = 0; index < 10; index += 1) {
      runs.record('a1', 100, 5_000 + index);
    }
    assert.equal(runs.peakMsPerSecond('a1', 6_000), 1_000);
    assert.equal(runs.peakMsPerSecond('b2', 6_000), 0);
  });

  it('is forgotten after ten to twenty seconds', () => {
    const runs = createSurvivedRuns();
    runs.record('a1', 40, 9_000);
    assert.equal(runs.peakMsPerSecond('a1', 19_500), 40);
    assert.equal(runs.peakMsPerSecond('a1', 29_500), 0);
  });

  it('is kept for a bounded number of requests', () => {
    const runs = createSurvivedRuns();
    runs.record('first', 40, 0);
    for (let index = 0; index < 4_000; index += 1) {
      runs.record(`other-${index}`, 40, 1);
    }
    assert.equal(runs.peakMsPerSecond('first', 1), 0);
    assert.equal(runs.peakMsPerSecond('other-0', 1), 40);
  });
});
