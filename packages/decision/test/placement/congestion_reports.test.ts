import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type LoadReport,
  createCongestionReports,
  createTargetLoad,
} from '../../src/index.js';

const SLOTS = 6;

function full(waiting: number): LoadReport {
  return {running: SLOTS, waiting, slots: SLOTS};
}

// Load pattern: many VMs that share many targets.
describe('what a VM tells peers of full targets', () => {
  it('names those that are full, once for each statement', () => {
    const reports = createCongestionReports();
    reports.record('full', full(3), 0);
    reports.record('free', {running: 1, waiting: 0, slots: SLOTS}, 0);
    assert.deepEqual(reports.takeNews(100), [
      {incarnation: 'full', load: 9, ageMs: 100},
    ]);
    assert.deepEqual(reports.takeNews(200), []);
  });

  it('names those that are not full any more, for a while', () => {
    const reports = createCongestionReports();
    const free = {running: 2, waiting: 0, slots: SLOTS};
    reports.record('target', full(0), 0);
    reports.takeNews(0);
    reports.record('target', free, 500);
    assert.deepEqual(reports.takeNews(500), [
      {incarnation: 'target', load: 2, ageMs: 0},
    ]);
    reports.takeNews(4_000);
    reports.record('target', free, 4_000);
    assert.deepEqual(reports.takeNews(4_000), []);
  });

  it('names a bounded number, the fullest first', () => {
    const reports = createCongestionReports();
    for (let index = 0; index < 100; index += 1) {
      reports.record(`target-${index}`, full(index), 0);
    }
    const news = reports.takeNews(0);
    assert.equal(news.length, 24);
    assert.equal(news[0]?.incarnation, 'target-99');
  });

  // Guards against a queue that grows because each VM takes the target for idle.
  it('makes a VM that has sent a target nothing avoid its queue', () => {
    const load = createTargetLoad();
    assert.equal(load.estimatedInFlight('target', 0), 0);
    load.recordPeerReport('target', 15, 0);
    assert.equal(load.estimatedInFlight('target', 100), 15);
    load.recordPeerReport('target', 2, -50);
    assert.equal(load.estimatedInFlight('target', 100), 15);
    load.recordPeerReport('target', 2, 300);
    assert.equal(load.estimatedInFlight('target', 300), 2);
  });

  it('holds for longer than what the target says itself, and not for ever', () => {
    const load = createTargetLoad();
    load.recordReport('own', full(0), 0);
    load.recordPeerReport('told', SLOTS, 0);
    assert.equal(load.estimatedInFlight('own', 600), 0);
    assert.equal(load.estimatedInFlight('told', 600), SLOTS);
    assert.equal(load.estimatedInFlight('told', 1_500), 0);
  });
});
