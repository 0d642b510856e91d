import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createReservedReturns} from '../../src/core/quotas/reserved_returns.js';

describe('times that refused callers are told', () => {
  it('follow each other at the rate of the allowance', () => {
    const returns = createReservedReturns();
    assert.equal(returns.reserve(100, 250, 0), 100);
    assert.equal(returns.reserve(100, 250, 0), 350);
    assert.equal(returns.reserve(900, 250, 0), 900);
  });

  it('are kept for those who return, once each', () => {
    const returns = createReservedReturns();
    returns.reserve(100, 250, 0);
    returns.reserve(100, 250, 0);
    assert.equal(returns.due(0), 0);
    assert.equal(returns.due(100), 1);
    assert.ok(returns.redeem(100));
    assert.ok(!returns.redeem(100));
    assert.equal(returns.due(100), 0);
  });

  // A caller that has given up would hold back others for good.
  it('are given to others if the caller does not return', () => {
    const returns = createReservedReturns();
    returns.reserve(100, 250, 0);
    assert.equal(returns.due(500), 1);
    assert.equal(returns.due(501), 0);
  });

  it('end where callers have given up', () => {
    const returns = createReservedReturns();
    assert.equal(returns.reserve(2_001, 250, 0), undefined);
    assert.equal(returns.reserve(1_900, 250, 0), 1_900);
    assert.equal(returns.reserve(100, 250, 0), undefined);
  });
});
