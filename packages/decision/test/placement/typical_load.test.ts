import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTypicalLoad} from '../../src/index.js';

describe('the typical load of a service', () => {
  it('follows what its targets report', () => {
    const load = createTypicalLoad();
    load.record('rooms', {running: 2, waiting: 0, slots: 4}, 0);
    assert.equal(load.requestsPerSlot('rooms', 0), 0.5);
    for (let atMs = 1; atMs <= 100; atMs += 1) {
      load.record('rooms', {running: 4, waiting: 4, slots: 4}, atMs);
    }
    assert.ok(load.requestsPerSlot('rooms', 100) > 1.9);
    assert.equal(load.requestsPerSlot('packs', 100), 0);
  });

  it('is not assumed once nothing is reported anymore', () => {
    const load = createTypicalLoad();
    load.record('rooms', {running: 4, waiting: 4, slots: 4}, 0);
    assert.equal(load.requestsPerSlot('rooms', 2_000), 2);
    assert.equal(load.requestsPerSlot('rooms', 2_001), 0);
  });
});
