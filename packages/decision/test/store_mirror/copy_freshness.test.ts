import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {type CopyFreshness, createCopyFreshness} from '../../src/index.js';

describe('the freshness of copies of the store', () => {
  let freshness: CopyFreshness;

  beforeEach(() => {
    freshness = createCopyFreshness(0);
    freshness.recordConfirmation(10);
  });

  it('is unknown after a start', () => {
    assert.equal(createCopyFreshness(0).state(100), 'unconfirmed');
  });

  // Guards against answers from before a pause that are read after it.
  it('is unknown after a pause until a later question is answered', () => {
    freshness.recordPause(6_000);
    freshness.recordConfirmation(5_900);
    assert.equal(freshness.state(6_010), 'unconfirmed');
    freshness.recordConfirmation(6_005);
    assert.equal(freshness.state(6_060), 'confirmed');
  });

  it('is assumed if nobody answers in time', () => {
    freshness.recordPause(6_000);
    assert.equal(freshness.state(9_600), 'unconfirmed');
    assert.equal(freshness.state(9_601), 'confirmed');
    assert.equal(freshness.isConfirmed(), false);
  });
});
