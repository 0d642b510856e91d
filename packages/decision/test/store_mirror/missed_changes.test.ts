import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {type MissedChanges, createMissedChanges} from '../../src/index.js';

describe('changes that a copy of the store lacks', () => {
  let changes: MissedChanges;

  beforeEach(() => {
    changes = createMissedChanges();
  });

  it('are none while no peer has a newer copy', () => {
    assert.equal(changes.observe(7, 7, 0), 'none');
    assert.equal(changes.observe(6, 7, 1_000), 'none');
    assert.equal(changes.behindMs(1_000), 0);
  });

  it('may be on their way at first, and are missed after a while', () => {
    assert.equal(changes.observe(8, 7, 1_000), 'delayed');
    assert.equal(changes.observe(8, 7, 1_200), 'delayed');
    assert.equal(changes.observe(8, 7, 1_300), 'missed');
    assert.equal(changes.behindMs(1_300), 300);
  });

  it('stay missed when a peer that lacks them too is compared', () => {
    changes.observe(8, 7, 1_000);
    assert.equal(changes.observe(7, 7, 1_200), 'none');
    assert.equal(changes.observe(8, 7, 1_400), 'missed');
  });

  it('are none again once the copy has caught up', () => {
    changes.observe(8, 7, 1_000);
    changes.observe(8, 8, 2_000);
    assert.equal(changes.isCurrent(), true);
    assert.equal(changes.observe(9, 8, 3_000), 'delayed');
  });
});
