import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type RegistryEvent,
  type TargetEntry,
  createTargetRegistry,
} from '../../src/index.js';

function entry(id: string, changes: Partial<TargetEntry> = {}): TargetEntry {
  return {
    id,
    service: 'rooms',
    host: '10.0.0.1',
    port: 80,
    zone: 'riga-a',
    slots: 4,
    draining: false,
    coldRemainingMs: 0,
    startedAtWallMs: 1,
    ...changes,
  };
}

function start() {
  const events: RegistryEvent[] = [];
  const registry = createTargetRegistry({
    zoneRegions: new Map([
      ['riga-a', 'riga'],
      ['kurz-a', 'kurzeme'],
    ]),
    onEvent: event => events.push(event),
  });
  const usable = () => registry.usable('rooms').map(target => target.entry.id);
  return {registry, events, usable};
}

describe('target registry', () => {
  it('excludes draining targets', () => {
    const {registry, usable} = start();
    registry.put(entry('a'), 0);
    registry.put(entry('b'), 0);
    registry.put(entry('a', {draining: true}), 10);
    assert.deepEqual(usable(), ['b']);
  });

  it('excludes targets that say of themselves that they leave', () => {
    const leaving = new Set<string>();
    const registry = createTargetRegistry({
      zoneRegions: new Map(),
      onEvent: () => {},
      isLeaving: incarnation => leaving.has(incarnation),
    });
    registry.put(entry('a'), 0);
    registry.put(entry('b'), 0);
    assert.equal(registry.usable('rooms').length, 2);
    leaving.add(registry.get('a')?.incarnation ?? '');
    registry.refreshUsable('rooms');
    assert.deepEqual(
      registry.usable('rooms').map(target => target.entry.id),
      ['b'],
    );
  });

  it('treats a target restarted under the same name as a new incarnation', () => {
    const {registry, events} = start();
    registry.put(entry('a'), 0);
    const before = registry.get('a')?.incarnation;
    registry.put(entry('a', {startedAtWallMs: 2}), 10);
    assert.notEqual(registry.get('a')?.incarnation, before);
    assert.deepEqual(
      events.map(event => event.kind),
      ['target-added', 'target-removed', 'target-added'],
    );
  });

  it('keeps a missing target until the list is stable', () => {
    const {registry, usable} = start();
    registry.put(entry('a'), 0);
    registry.put(entry('b'), 0);
    registry.remove('a', 100, 2_100);
    registry.remove('b', 100, 2_100);
    registry.put(entry('b'), 1_000);
    registry.expire(2_000);
    assert.deepEqual(usable().sort(), ['a', 'b']);
    registry.expire(2_100);
    assert.deepEqual(usable(), ['b']);
  });

  it('removes a missing target at once while the list is reliable', () => {
    const {registry, usable} = start();
    registry.put(entry('a'), 0);
    registry.remove('a', 100, 100);
    assert.deepEqual(usable(), []);
  });

  it('excludes evacuated zones and returns their targets as cold', () => {
    const {registry, usable} = start();
    registry.put(entry('a'), 0);
    registry.put(entry('b', {zone: 'kurz-a'}), 0);
    registry.setEvacuated(new Set(['riga-a']), 10, () => 3_000);
    assert.deepEqual(usable(), ['b']);
    registry.setEvacuated(new Set(), 1_000, () => 3_000);
    const target = registry.get('a');
    assert.ok(target);
    assert.equal(registry.isCold(target, 3_999), true);
    assert.equal(registry.isCold(target, 4_000), false);
  });

  describe('after the list has come back from an older copy', () => {
    it('keeps a target draining until it says otherwise', () => {
      const {registry, usable} = start();
      registry.put(entry('a', {draining: true, sequence: 7}), 0);
      registry.beginRestore(100);
      registry.put(entry('a', {sequence: 6}), 100);
      assert.deepEqual(usable(), []);
      registry.put(entry('a', {sequence: 8}), 200);
      assert.deepEqual(usable(), ['a']);
    });

    it('withholds a target that had left, unless it writes again', () => {
      const {registry, usable} = start();
      for (const id of ['left', 'back']) {
        registry.put(entry(id, {sequence: 3}), 0);
        registry.remove(id, 50, 50);
      }
      registry.beginRestore(100);
      registry.put(entry('left', {sequence: 2}), 100);
      registry.put(entry('back', {sequence: 2}), 100);
      registry.put(entry('back', {sequence: 4}), 300);
      assert.deepEqual(usable(), ['back']);
      assert.equal(registry.withheldCount(), 1);
    });

    it('withholds an earlier incarnation of a target', () => {
      const {registry} = start();
      registry.put(entry('a', {startedAtWallMs: 2, sequence: 1}), 0);
      registry.beginRestore(100);
      registry.put(entry('a', {startedAtWallMs: 1, sequence: 90}), 100);
      assert.equal(registry.get('a')?.entry.startedAtWallMs, 2);
    });

    it('takes what is still listed once leavers would have lapsed', () => {
      const {registry, usable} = start();
      registry.put(entry('a', {sequence: 3}), 0);
      registry.remove('a', 50, 50);
      registry.beginRestore(100);
      registry.put(entry('a', {sequence: 2}), 100);
      registry.expire(5_000);
      assert.deepEqual(usable(), []);
      registry.expire(5_100);
      assert.deepEqual(usable(), ['a']);
    });

    it('drops a withheld target that lapses', () => {
      const {registry, usable} = start();
      registry.put(entry('a', {sequence: 3}), 0);
      registry.remove('a', 50, 50);
      registry.beginRestore(100);
      registry.put(entry('a', {sequence: 2}), 100);
      registry.remove('a', 4_000, 4_000);
      registry.expire(6_000);
      assert.deepEqual(usable(), []);
    });

    it('withholds what another VM knows to have left, unless it is newer', () => {
      const {registry, usable} = start();
      registry.put(entry('left', {sequence: 2}), 0);
      registry.put(entry('rewritten', {sequence: 9}), 0);
      registry.beginRestore(0, 3_000);
      registry.learnDeparted(entry('left', {sequence: 3}), 10);
      registry.learnDeparted(entry('rewritten', {sequence: 3}), 10);
      assert.deepEqual(usable(), ['rewritten']);
      registry.expire(3_000);
      assert.deepEqual(usable(), ['rewritten', 'left']);
    });

    it('takes what another VM knows better, until the list has it', () => {
      const {registry, usable} = start();
      registry.put(entry('draining', {sequence: 2}), 0);
      registry.beginRestore(0, 3_000);
      const draining = entry('draining', {sequence: 4, draining: true});
      registry.learnListed(draining, 10, 2_000);
      registry.learnListed(entry('listed again'), 10, 2_000);
      registry.learnListed(entry('gone'), 10, 2_000);
      assert.deepEqual(usable(), ['listed again', 'gone']);
      registry.put(entry('listed again', {sequence: 5}), 1_000);
      registry.expire(2_000);
      assert.deepEqual(usable(), ['listed again']);
      assert.equal(registry.get('draining')?.entry.draining, true);
    });

    it('adds targets that nobody knew', () => {
      const {registry, usable} = start();
      registry.beginRestore(100);
      registry.put(entry('new', {sequence: 1}), 100);
      assert.deepEqual(usable(), ['new']);
    });
  });
});
