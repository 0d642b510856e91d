import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCrashWatch} from '../../src/index.js';

describe('requests of targets that died', () => {
  it('are suspects when the death shows soon', () => {
    const watch = createCrashWatch();
    watch.brokeOff('life', 'poison', 0);
    watch.brokeOff('life', 'other', 10);
    assert.deepEqual(watch.died('life', 1_000), ['poison', 'other']);
    assert.deepEqual(watch.died('life', 1_001), []);
  });

  it('are none when the target only lost answers and lives on', () => {
    const watch = createCrashWatch();
    watch.brokeOff('life', 'innocent', 0);
    assert.deepEqual(watch.died('life', 6_000), []);
    assert.deepEqual(watch.died('another', 100), []);
  });
});
