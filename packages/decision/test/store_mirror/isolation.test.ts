import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {
  type IsolationDetector,
  createIsolationDetector,
} from '../../src/index.js';

/** Six other VMs, the store confirmed just now. */
const SOUND = {confirmedAtMs: 10_000, heardPeers: 6, recentPeers: 6};

describe('a VM that may be isolated', () => {
  let detector: IsolationDetector;

  beforeEach(() => {
    detector = createIsolationDetector(0);
    detector.observe(SOUND, 10_000);
  });

  function observe(heardPeers: number, nowMs: number): boolean {
    detector.observe({...SOUND, heardPeers}, nowMs);
    return detector.isIsolated();
  }

  it('is isolated if it hears from nobody and the store does not answer', () => {
    assert.equal(observe(0, 13_000), false);
    assert.equal(observe(0, 13_001), true);
  });

  // Guards against two VMs of a zone that take each other for the fleet.
  it('is isolated if it hears from a minority', () => {
    assert.equal(observe(2, 14_000), true);
    assert.equal(observe(3, 14_000), false);
  });

  it('goes on while the store is away for all VMs', () => {
    assert.equal(observe(6, 60_000), false);
  });

  it('stays isolated when the others have been silent for long', () => {
    detector.observe({...SOUND, heardPeers: 0, recentPeers: 0}, 60_000);
    assert.equal(detector.isIsolated(), true);
  });

  it('is not isolated anymore once the store answers a VM that it hears', () => {
    assert.equal(observe(0, 14_000), true);
    const contacts = {confirmedAtMs: 15_000, heardPeers: 1, recentPeers: 1};
    detector.observe(contacts, 15_100);
    assert.equal(detector.isIsolated(), false);
  });

  it('goes on without the store if it has no peers', () => {
    detector.observe({...SOUND, heardPeers: 0, recentPeers: 0}, 10_400);
    detector.observe({...SOUND, heardPeers: 0, recentPeers: 0}, 60_000);
    assert.equal(detector.isIsolated(), false);
  });

  // Guards against a VM that takes itself for alone after a long pause.
  it('remembers through a pause how many VMs there are', () => {
    detector.recordPause(60_000);
    const nobody = {...SOUND, heardPeers: 0, recentPeers: 0};
    detector.observe(nobody, 60_100);
    detector.observe(nobody, 63_100);
    assert.equal(detector.isIsolated(), true);
  });

  it('is not isolated by a pause alone', () => {
    detector.recordPause(20_000);
    assert.equal(observe(0, 20_100), false);
  });
});
