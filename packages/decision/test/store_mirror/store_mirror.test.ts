import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type MirrorEvent,
  createStoreMirror,
  createStoreVersion,
  createWatcherSelection,
} from '../../src/index.js';

function put(name: string, version: number): MirrorEvent {
  return {kind: 'put', object: {name, version, value: version}};
}

describe('store mirror', () => {
  it('applies changes in order and returns their effect', () => {
    const mirror = createStoreMirror();
    mirror.applySnapshot({
      version: 5,
      objects: [{name: 'a', version: 3, value: 3}],
    });
    const change = mirror.applyBatch({
      from: 5,
      version: 8,
      events: [
        put('b', 6),
        {kind: 'deleted', name: 'a', version: 7},
        put('b', 8),
      ],
    });
    assert.deepEqual(change, {
      put: [{name: 'b', version: 8, value: 8}],
      removed: ['a'],
    });
  });

  it('ignores an older list and an older batch', () => {
    const mirror = createStoreMirror();
    mirror.applySnapshot({
      version: 9,
      objects: [{name: 'a', version: 9, value: 'new'}],
    });
    mirror.applySnapshot({
      version: 4,
      objects: [{name: 'a', version: 2, value: 'old'}],
    });
    mirror.applyBatch({from: 1, version: 4, events: [put('a', 3)]});
    assert.deepEqual(mirror.objects(), [{name: 'a', version: 9, value: 'new'}]);
    assert.equal(mirror.version(), 9);
  });

  it('follows the store into a new era with lower revisions', () => {
    const mirror = createStoreMirror();
    const version = (era: number, revision: number) =>
      createStoreVersion(era, revision);
    mirror.applySnapshot({
      version: version(1, 1_000),
      objects: [
        {name: 'a', version: version(1, 990), value: 'lost'},
        {name: 'b', version: version(1, 995), value: 'created since'},
      ],
    });
    const change = mirror.applySnapshot({
      version: version(2, 900),
      objects: [{name: 'a', version: version(2, 800), value: 'copied'}],
    });
    assert.deepEqual(change.removed, ['b']);
    assert.equal(change.put[0]?.value, 'copied');
    const late = mirror.applySnapshot({
      version: version(1, 1_010),
      objects: [],
    });
    assert.deepEqual(late, {put: [], removed: []});
    const gap = mirror.applyBatch({
      from: version(3, 10),
      version: version(3, 11),
      events: [],
    });
    assert.equal(gap, 'gap');
  });

  it('reports a gap instead of skipping changes', () => {
    const mirror = createStoreMirror();
    mirror.applySnapshot({version: 5, objects: []});
    const change = mirror.applyBatch({
      from: 7,
      version: 8,
      events: [put('a', 8)],
    });
    assert.equal(change, 'gap');
    assert.equal(mirror.version(), 5);
  });

  it('does not restore an object that a newer list omits', () => {
    const mirror = createStoreMirror();
    mirror.applySnapshot({
      version: 5,
      objects: [{name: 'a', version: 5, value: 5}],
    });
    assert.deepEqual(mirror.applySnapshot({version: 6, objects: []}).removed, [
      'a',
    ]);
    mirror.applyBatch({from: 4, version: 5, events: [put('a', 5)]});
    assert.deepEqual(mirror.objects(), []);
  });
});

describe('watcher selection', () => {
  const vms = ['a', 'b', 'c', 'd', 'e'];

  function selectionOf(self: string) {
    const selection = createWatcherSelection({
      self,
      watcherCount: 2,
      takeoverDelayMs: 1_000,
      takeoverDelayPerRankMs: 100,
    });
    selection.setVms(vms);
    return selection;
  }

  it('selects the configured number of VMs while their watches are confirmed', () => {
    const watching = vms.filter(vm => {
      const selection = selectionOf(vm);
      selection.recordPeerConfirmation(0);
      return selection.shouldWatch(500);
    });
    assert.equal(watching.length, 2);
  });

  it('adds the other VMs one by one when no watch is confirmed', () => {
    const counts = [900, 1_050, 1_150, 1_250].map(
      nowMs =>
        vms.filter(vm => {
          const selection = selectionOf(vm);
          selection.recordPeerConfirmation(0);
          return selection.shouldWatch(nowMs);
        }).length,
    );
    assert.deepEqual(counts, [2, 3, 4, 5]);
  });
});
