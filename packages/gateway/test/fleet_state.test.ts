import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {RoutingConfiguration, TargetEntry} from '@ibisbeam/decision';
import {createKeyValueLogger} from '@ibisbeam/library';
import {Left, Right} from 'purify-ts';
import {type FleetState, createFleetState} from '../src/fleet_state.js';

const TARGET: TargetEntry = {
  id: 'i-1',
  service: 'rooms',
  host: '10.0.0.1',
  port: 80,
  zone: 'riga-a',
  slots: 4,
  draining: false,
  coldRemainingMs: 0,
  startedAtWallMs: 1,
};

/** A configuration is its version here. */
function readConfiguration(value: unknown): RoutingConfiguration {
  return {
    version: Number(value),
    routes: [],
    services: new Map(),
  } as unknown as RoutingConfiguration;
}

describe('fleet state', () => {
  let nowMs: number;
  let removed: string[];
  let lines: string[];
  let fleet: FleetState;

  beforeEach(() => {
    nowMs = 0;
    removed = [];
    lines = [];
    fleet = createFleetState({
      protocol: {
        configurationName: 'main',
        readTarget: (name, value) =>
          value === 'valid' ? Right({...TARGET, id: name}) : Left('no target'),
        readConfiguration: value => Right(readConfiguration(value)),
      },
      zoneRegions: new Map([['riga-a', 'riga']]),
      timers: {nowMs: () => nowMs},
      log: createKeyValueLogger({
        level: 'info',
        fields: {},
        write: line => lines.push(line),
      }),
      onConfiguration: () => {},
      isLeaving: () => false,
      onTargetDraining: () => {},
      onTargetRemoved: ({incarnation}) => removed.push(incarnation),
    });
    putTarget('valid');
  });

  function putTarget(value: string, name = 'i-1'): void {
    const put = [{name, version: nowMs + 1, value}];
    fleet.applyChange('targets', {put, removed: []}, 0);
  }

  function configure(version: number): void {
    const put = [{name: 'main', version: nowMs + 1, value: version}];
    fleet.applyChange('configuration', {put, removed: []}, 0);
  }

  function changeEvacuations(put: string[], lifted: string[] = []): void {
    const objects = put.map(name => ({name, version: nowMs + 1, value: {}}));
    fleet.applyChange('evacuations', {put: objects, removed: lifted}, 0);
  }

  function evacuatedZones(): readonly string[] {
    return [...fleet.registry.evacuated()];
  }

  function tickAt(atMs: number): void {
    nowMs = atMs;
    fleet.expire();
  }

  it('keeps a target that expired in an outage for the grace period', () => {
    fleet.applyChange('targets', {put: [], removed: ['i-1']}, 2_000);
    tickAt(1_900);
    assert.equal(fleet.registry.usable('rooms').length, 1);
    tickAt(2_000);
    assert.equal(fleet.registry.usable('rooms').length, 0);
    assert.equal(removed.length, 1);
  });

  it('keeps a target that is listed again within the grace period', () => {
    fleet.applyChange('targets', {put: [], removed: ['i-1']}, 2_000);
    tickAt(1_500);
    putTarget('valid');
    tickAt(3_000);
    assert.equal(fleet.registry.usable('rooms').length, 1);
  });

  it('removes a target at once if there was no outage', () => {
    fleet.applyChange('targets', {put: [], removed: ['i-1']}, 0);
    assert.equal(fleet.registry.usable('rooms').length, 0);
  });

  it('removes a target whose entry becomes invalid', () => {
    putTarget('invalid');
    assert.equal(fleet.registry.usable('rooms').length, 0);
  });

  describe('after the store has come back from an older copy', () => {
    // Guards against an evacuation that ends because the copy lacks it.
    it('keeps an evacuation until its writer has had time to repeat it', () => {
      changeEvacuations(['riga-a']);
      fleet.beginRestore();
      changeEvacuations([], ['riga-a']);
      tickAt(2_400);
      assert.deepEqual(evacuatedZones(), ['riga-a']);
      tickAt(2_500);
      assert.deepEqual(evacuatedZones(), []);
    });

    it('keeps an evacuation that is written again', () => {
      changeEvacuations(['riga-a']);
      fleet.beginRestore();
      changeEvacuations([], ['riga-a']);
      tickAt(1_900);
      changeEvacuations(['riga-a']);
      tickAt(9_000);
      assert.deepEqual(evacuatedZones(), ['riga-a']);
    });

    // Guards against an evacuation that the copy brings back.
    it('leaves an evacuation lifted until its writer has removed it', () => {
      changeEvacuations(['riga-a']);
      changeEvacuations([], ['riga-a']);
      fleet.beginRestore();
      changeEvacuations(['riga-a']);
      assert.deepEqual(evacuatedZones(), []);
      tickAt(1_900);
      changeEvacuations([], ['riga-a']);
      tickAt(9_000);
      assert.deepEqual(evacuatedZones(), []);
    });

    it('evacuates a zone at once that nobody had lifted', () => {
      fleet.beginRestore();
      changeEvacuations(['riga-a']);
      assert.deepEqual(evacuatedZones(), ['riga-a']);
    });

    // Guards against a configuration that the copy takes back.
    it('takes no configuration older than the one in force', () => {
      configure(5);
      fleet.beginRestore();
      configure(3);
      assert.equal(fleet.routes()?.configuration.version, 5);
      configure(6);
      assert.equal(fleet.routes()?.configuration.version, 6);
    });

    it('begins anew with a second restore', () => {
      changeEvacuations(['riga-a']);
      fleet.beginRestore();
      tickAt(2_000);
      fleet.beginRestore();
      changeEvacuations([], ['riga-a']);
      tickAt(4_400);
      assert.deepEqual(evacuatedZones(), ['riga-a']);
      assert.ok(fleet.restoreMemory());
      tickAt(7_000);
      assert.equal(fleet.restoreMemory(), undefined);
    });

    it('tells another VM what the copy does not say', () => {
      configure(5);
      changeEvacuations(['riga-a']);
      fleet.beginRestore();
      const memory = fleet.restoreMemory();
      assert.equal(memory?.configuration?.value, 5);
      assert.deepEqual(memory?.evacuated, ['riga-a']);
      assert.deepEqual(
        memory?.listed.map(({id}) => id),
        ['i-1'],
      );
    });

    // Guards against a process that ends since a VM of an earlier build tells of a
    // target with a port that cannot be.
    it('learns no target that has no address', () => {
      fleet.learn({
        leftMs: 3_000,
        listed: [
          {...TARGET, id: 'i-8', port: 65_536},
          {...TARGET, id: 'i-9', host: 'nowhere'},
          {...TARGET, id: 'i-10'},
        ],
        departed: [],
        evacuated: [],
        lifted: [],
      });
      const known = fleet.registry.all().map(({entry}) => entry.id);
      assert.ok(known.includes('i-10'));
      assert.ok(!known.includes('i-8') && !known.includes('i-9'));
    });

    // Guards against a restore whose effect on targets no log tells.
    it('logs what was kept, written again, withheld and dropped', () => {
      for (const name of ['i-2', 'i-3', 'i-4']) {
        putTarget('valid', name);
      }
      fleet.applyChange('targets', {put: [], removed: ['i-4']}, 0);
      fleet.beginRestore();
      fleet.applyChange('targets', {put: [], removed: ['i-1', 'i-2']}, 2_000);
      putTarget('valid', 'i-4');
      tickAt(1_500);
      putTarget('valid', 'i-1');
      tickAt(2_000);
      tickAt(4_900);
      assert.ok(!lines.some(line => line.includes('event=restore-ended')));
      tickAt(5_000);
      tickAt(9_000);
      const ended = lines.filter(line => line.includes('event=restore-ended'));
      assert.equal(ended.length, 1);
      assert.match(
        ended[0] ?? '',
        /kept=2 rewritten=1 dropped=1 withheld=1 revived=1/,
      );
    });
  });
});
