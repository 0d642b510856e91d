import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createByteBudget} from '../../src/index.js';

describe('the memory for requests in flight', () => {
  it('is taken until none is left, and given back by account', () => {
    const budget = createByteBudget(() => 100);
    const one = budget.open();
    const other = budget.open();
    assert.ok(one.take(60));
    assert.ok(!other.take(50));
    assert.ok(other.take(40));
    assert.equal(budget.heldBytes(), 100);
    one.close();
    one.close();
    assert.equal(budget.heldBytes(), 40);
    assert.ok(other.take(60));
  });

  it('is not taken by requests that have ended', () => {
    const budget = createByteBudget(() => 100);
    const account = budget.open();
    account.close();
    assert.ok(!account.take(1));
    assert.equal(budget.heldBytes(), 0);
  });

  it('may shrink below what is held', () => {
    let limitBytes = 100;
    const budget = createByteBudget(() => limitBytes);
    const account = budget.open();
    assert.ok(account.take(80));
    limitBytes = 50;
    assert.ok(!account.take(1));
    account.close();
    assert.ok(budget.open().take(50));
  });
});
