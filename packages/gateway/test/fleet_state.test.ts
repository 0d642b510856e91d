import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {TargetEntry} from '@ibisbeam/decision';
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

describe('fleet state', () => {
  let nowMs: number;
  let removed: string[];
  let fleet: FleetState;

  beforeEach(() => {
    nowMs = 0;
    removed = [];
    fleet = createFleetState({
      protocol: {
        configurationName: 'main',
        readTarget: (_name, value) =>
          value === 'valid' ? Right(TARGET) : Left('no target'),
        readConfiguration: () => Left('no configuration'),
      },
      zoneRegions: new Map([['riga-a', 'riga']]),
      timers: {nowMs: () => nowMs},
      log: createKeyValueLogger({level: 'error', fields: {}, write: () => {}}),
      onConfiguration: () => {},
      isLeaving: () => false,
      onTargetDraining: () => {},
      onTargetRemoved: incarnation => removed.push(incarnation),
    });
    putTarget('valid');
  });

  function putTarget(value: string): void {
    const put = [{name: 'i-1', version: nowMs + 1, value}];
    fleet.applyChange('targets', {put, removed: []}, 0);
  }

  function tickAt(atMs: number): void {
    nowMs = atMs;
    fleet.registry.expire(nowMs);
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
});
