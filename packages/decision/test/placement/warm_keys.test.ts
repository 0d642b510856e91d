import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createWarmKeys} from '../../src/index.js';

describe('targets that forget the keys used longest ago', () => {
  it('count as warm for the requests that follow soon', () => {
    const warmKeys = createWarmKeys();
    warmKeys.used('i-1', 'rooms', '17', 0);
    assert.ok(warmKeys.isWarm('i-1', 'rooms', '17', 500));
    assert.equal(warmKeys.isWarm('i-2', 'rooms', '17', 500), false);
    assert.equal(warmKeys.isWarm('i-1', 'packs', '17', 500), false);
  });

  // 38 requests a second, half of them of new keys, to a memory of some 60.
  it('count as cold once an overload has pushed the key out', () => {
    const warmKeys = createWarmKeys();
    warmKeys.used('i-1', 'rooms', '17', 0);
    assert.equal(warmKeys.isWarm('i-1', 'rooms', '17', 3_200), false);
  });
});
