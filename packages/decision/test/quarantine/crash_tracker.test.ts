import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCrashTracker} from '../../src/index.js';

describe('requests running at a crashed target', () => {
  it('are suspects if the crash is detected soon', () => {
    const tracker = createCrashTracker();
    tracker.recordBrokenConnection('incarnation', 'poison', 0);
    tracker.recordBrokenConnection('incarnation', 'other', 10);
    assert.deepEqual(tracker.recordCrash('incarnation', 1_000), [
      {fingerprint: 'poison', brokenAtMs: 0},
      {fingerprint: 'other', brokenAtMs: 10},
    ]);
    assert.deepEqual(tracker.recordCrash('incarnation', 1_001), []);
  });

  it('are no suspects if the crash comes later or hits another target', () => {
    const tracker = createCrashTracker();
    tracker.recordBrokenConnection('incarnation', 'innocent', 0);
    assert.deepEqual(tracker.recordCrash('incarnation', 6_000), []);
    assert.deepEqual(tracker.recordCrash('another', 100), []);
  });
});
