import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createHeartbeatSchedule} from '../src/peers/heartbeat_schedule.js';

const DUE = 12;

function countForAll(peerCount: number, isWatcher: boolean): number {
  const schedule = createHeartbeatSchedule();
  let count = 0;
  for (let heartbeat = 0; heartbeat < DUE; heartbeat += 1) {
    if (schedule.next(peerCount, isWatcher) === 'all') {
      count += 1;
    }
  }
  return count;
}

// Load pattern: hundreds of VMs, most of them in other regions.
describe('heartbeats', () => {
  it('go to other regions less often in a large fleet', () => {
    assert.equal(countForAll(78, false), DUE / 3);
  });

  it('go to all peers in a small fleet', () => {
    assert.equal(countForAll(31, false), DUE);
  });

  // Guards against VMs that replace a watcher that is there.
  it('go to all peers from a VM that watches the store', () => {
    assert.equal(countForAll(78, true), DUE);
  });
});
