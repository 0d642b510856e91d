import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCrashTracker} from '../../src/index.js';

describe('requests of targets that died', () => {
  it('are suspects when the death shows soon', () => {
    const watch = createCrashTracker();
    watch.connectionBroken('incarnation', 'poison', 0);
    watch.connectionBroken('incarnation', 'other', 10);
    assert.deepEqual(watch.crashed('incarnation', 1_000), ['poison', 'other']);
    assert.deepEqual(watch.crashed('incarnation', 1_001), []);
  });

  it('are none when the target only lost answers and lives on', () => {
    const watch = createCrashTracker();
    watch.connectionBroken('incarnation', 'innocent', 0);
    assert.deepEqual(watch.crashed('incarnation', 6_000), []);
    assert.deepEqual(watch.crashed('another', 100), []);
  });
});
