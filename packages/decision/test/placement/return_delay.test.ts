import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {returnDelayMs} from '../../src/index.js';

describe('the time to come back after a refusal', () => {
  it('is about the wait for a slot, spread over callers', () => {
    assert.equal(returnDelayMs(800, 250, 0.5), 800);
    assert.equal(returnDelayMs(800, 250, 0), 600);
    assert.equal(returnDelayMs(800, 250, 1), 1_000);
  });

  it('is neither too short nor longer than callers have time', () => {
    assert.equal(returnDelayMs(0, 250, 0.5), 250);
    assert.equal(returnDelayMs(60_000, 250, 0.5), 1_500);
  });
});
