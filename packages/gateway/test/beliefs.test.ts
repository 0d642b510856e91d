import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {TargetEntry} from '@ibisbeam/decision';
import {createKeyValueLogger} from '@ibisbeam/library';
import {Left, Right} from 'purify-ts';
import {type Beliefs, createBeliefs} from '../src/beliefs.js';

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

describe('what a gateway believes of targets', () => {
  let nowMs: number;
  let gone: string[];
  let beliefs: Beliefs;

  beforeEach(() => {
    nowMs = 0;
    gone = [];
    beliefs = createBeliefs({
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
      onTargetGone: life => gone.push(life),
    });
    putTarget('valid');
  });

  function putTarget(value: string): void {
    const put = [{name: 'i-1', version: nowMs + 1, value}];
    beliefs.take('targets', {put, removed: []}, 0);
  }

  function tickAt(atMs: number): void {
    nowMs = atMs;
    beliefs.registry.expire(nowMs);
  }

  it('keeps a target that lapsed in an outage for its time to return', () => {
    beliefs.take('targets', {put: [], removed: ['i-1']}, 2_000);
    tickAt(1_900);
    assert.equal(beliefs.registry.usable('rooms').length, 1);
    tickAt(2_000);
    assert.equal(beliefs.registry.usable('rooms').length, 0);
    assert.equal(gone.length, 1);
  });

  it('goes on with a target that is back within that time', () => {
    beliefs.take('targets', {put: [], removed: ['i-1']}, 2_000);
    tickAt(1_500);
    putTarget('valid');
    tickAt(3_000);
    assert.equal(beliefs.registry.usable('rooms').length, 1);
  });

  it('drops a target that leaves while the store is sound at once', () => {
    beliefs.take('targets', {put: [], removed: ['i-1']}, 0);
    assert.equal(beliefs.registry.usable('rooms').length, 0);
  });

  it('uses no target whose entry cannot be read any more', () => {
    putTarget('spoilt');
    assert.equal(beliefs.registry.usable('rooms').length, 0);
  });
});
