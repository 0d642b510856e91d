import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {commonHomeRegions} from '../../src/index.js';

describe('home regions of two configurations', () => {
  it('are those of the other one where one allows all regions', () => {
    assert.deepEqual(commonHomeRegions([], ['riga']), ['riga']);
    assert.deepEqual(commonHomeRegions(['riga'], []), ['riga']);
    assert.deepEqual(commonHomeRegions([], []), []);
  });

  it('are the regions that both name', () => {
    assert.deepEqual(commonHomeRegions(['riga', 'latgale'], ['latgale']), [
      'latgale',
    ]);
  });

  it('are none where the two have no region in common', () => {
    assert.equal(commonHomeRegions(['riga'], ['latgale']), undefined);
  });
});
