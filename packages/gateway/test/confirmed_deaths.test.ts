import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {
  type ConfirmedDeaths,
  createConfirmedDeaths,
} from '../src/confirmed_deaths.js';

describe('a target that refuses connections', () => {
  let dead: string[];
  let deaths: ConfirmedDeaths;

  beforeEach(() => {
    dead = [];
    deaths = createConfirmedDeaths(incarnation => dead.push(incarnation));
    deaths.add('i-1@1', 1_000);
  });

  it('counts as dead once another target is reached', () => {
    deaths.update('reaching', 1_050, 1_100);
    assert.deepEqual(dead, []);
    deaths.update('reaching', 1_150, 1_200);
    assert.deepEqual(dead, ['i-1@1']);
  });

  // Guards against quarantines of requests that a cut VM had in flight.
  it('does not count as dead at a VM that is cut off', () => {
    deaths.update('suspect', undefined, 1_200);
    deaths.update('cut-off', undefined, 1_900);
    deaths.update('reaching', 9_000, 9_000);
    assert.deepEqual(dead, []);
  });

  it('counts as dead after 2 s if all targets are down', () => {
    deaths.update('suspect', undefined, 3_000);
    assert.deepEqual(dead, []);
    deaths.update('suspect', undefined, 3_001);
    assert.deepEqual(dead, ['i-1@1']);
  });
});
