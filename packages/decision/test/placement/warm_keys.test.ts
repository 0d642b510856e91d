import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createWarmKeys} from '../../src/index.js';

describe('warm keys', () => {
  it('are warm for requests shortly after the last use', () => {
    const warmKeys = createWarmKeys();
    warmKeys.recordUse('i-1', 'rooms', '17', 0);
    assert.ok(warmKeys.isWarm('i-1', 'rooms', '17', 500));
    assert.equal(warmKeys.isWarm('i-2', 'rooms', '17', 500), false);
    assert.equal(warmKeys.isWarm('i-1', 'packs', '17', 500), false);
  });

  // A target that caches some 60 keys and gets 38 requests/s, half of them for
  // new keys, evicts a key after about 3 s.
  it('are cold once overload has evicted them from the target', () => {
    const warmKeys = createWarmKeys();
    warmKeys.recordUse('i-1', 'rooms', '17', 0);
    assert.equal(warmKeys.isWarm('i-1', 'rooms', '17', 3_200), false);
  });
});
