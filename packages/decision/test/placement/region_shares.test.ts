import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type RegionCapacity, createRegionShares} from '../../src/index.js';

const MAXIMUM_SHIFT_PER_SECOND = 0.03;

function capacities(
  demand: Readonly<Record<string, number>>,
): ReadonlyMap<string, RegionCapacity> {
  return new Map([
    ['riga', {demand: demand['riga'] ?? 0, slots: 48}],
    ['kurzeme', {demand: demand['kurzeme'] ?? 0, slots: 12}],
    ['latgale', {demand: demand['latgale'] ?? 0, slots: 36}],
  ]);
}

function kurzeme() {
  return createRegionShares({
    region: 'kurzeme',
    maximumShiftPerSecond: MAXIMUM_SHIFT_PER_SECOND,
  });
}

/** Fraction of a thousand keys that run in each region. */
function keyFractions(shares: ReturnType<typeof kurzeme>) {
  const counts = new Map<string, number>();
  for (let index = 0; index < 1_000; index += 1) {
    const position = index / 1_000;
    const spread = (index * 0.618) % 1;
    const region = shares.regionFor('rooms', position, spread);
    counts.set(region, (counts.get(region) ?? 0) + 0.001);
  }
  return counts;
}

describe('region shares with a third of the demand and an eighth of the slots', () => {
  it('start below 1 at home before any request has arrived', () => {
    const shares = kurzeme();
    shares.update('rooms', capacities({}), 0);
    assert.ok(shares.localShare('rooms') < 0.6);
  });

  it('shift no faster than the bound when demand in the region rises', () => {
    const shares = kurzeme();
    shares.update('rooms', capacities({riga: 10, kurzeme: 5, latgale: 10}), 0);
    assert.equal(shares.localShare('rooms'), 1);
    let before = keyFractions(shares);
    for (let second = 1; second <= 30; second += 1) {
      const demand = {riga: 5, kurzeme: 25, latgale: 10};
      shares.update('rooms', capacities(demand), second * 1_000);
      const now = keyFractions(shares);
      const left = (before.get('kurzeme') ?? 0) - (now.get('kurzeme') ?? 0);
      assert.ok(
        left <= MAXIMUM_SHIFT_PER_SECOND + 0.002,
        `${left} in a second`,
      );
      before = now;
    }
    assert.ok(shares.localShare('rooms') < 0.4);
  });

  // Guards against requests that move from one remote region to another all at
  // once when the headroom there changes.
  it('shift no faster than the bound between other regions', () => {
    const shares = kurzeme();
    const demand = {riga: 20, kurzeme: 25, latgale: 0};
    shares.update('rooms', capacities(demand), 0);
    let before = keyFractions(shares);
    assert.ok((before.get('latgale') ?? 0) > 0.3);
    for (let second = 1; second <= 30; second += 1) {
      const changed = {riga: 5, kurzeme: 25, latgale: 22};
      shares.update('rooms', capacities(changed), second * 1_000);
      const now = keyFractions(shares);
      let moved = 0;
      for (const region of ['riga', 'kurzeme', 'latgale']) {
        const change = (now.get(region) ?? 0) - (before.get(region) ?? 0);
        moved += Math.max(0, change);
      }
      assert.ok(
        moved <= MAXIMUM_SHIFT_PER_SECOND + 0.005,
        `${moved} in a second`,
      );
      before = now;
    }
    assert.ok((before.get('latgale') ?? 0) < 0.05);
  });

  it('leave a region without slots at once', () => {
    const shares = kurzeme();
    const demand = {riga: 20, kurzeme: 25, latgale: 0};
    shares.update('rooms', capacities(demand), 0);
    const without = new Map(capacities(demand));
    without.set('latgale', {demand: 0, slots: 0});
    shares.update('rooms', without, 400);
    assert.equal(keyFractions(shares).get('latgale'), undefined);
    assert.ok((keyFractions(shares).get('riga') ?? 0) > 0.3);
  });

  it('return to a region whose slots come back', () => {
    const shares = kurzeme();
    const demand = {riga: 20, kurzeme: 25, latgale: 0};
    shares.update('rooms', capacities(demand), 0);
    const usual = keyFractions(shares).get('latgale') ?? 0;
    const without = new Map(capacities(demand));
    without.set('latgale', {demand: 0, slots: 0});
    shares.update('rooms', without, 400);
    shares.update('rooms', capacities(demand), 800);
    const now = keyFractions(shares).get('latgale') ?? 0;
    assert.ok(usual - now < 0.05, `${usual} before, ${now} after`);
  });

  it('move further keys without moving back those already away', () => {
    const shares = kurzeme();
    shares.update('rooms', capacities({kurzeme: 8}), 0);
    const awayBefore = new Set<number>();
    for (let index = 0; index < 1_000; index += 1) {
      if (shares.regionFor('rooms', index / 1_000, 0.5) !== 'kurzeme') {
        awayBefore.add(index);
      }
    }
    shares.update('rooms', capacities({kurzeme: 20}), 1_000);
    for (const index of awayBefore) {
      assert.notEqual(
        shares.regionFor('rooms', index / 1_000, 0.5),
        'kurzeme',
        'a key that was in another region has moved back',
      );
    }
  });

  it('leave a region without targets at once', () => {
    const shares = kurzeme();
    shares.update('rooms', capacities({riga: 5, kurzeme: 5, latgale: 5}), 0);
    const lost = new Map(capacities({riga: 5, kurzeme: 5, latgale: 5}));
    lost.set('kurzeme', {demand: 5, slots: 0});
    shares.update('rooms', lost, 400);
    assert.equal(keyFractions(shares).get('kurzeme'), undefined);
  });

  it('balance utilization when demand exceeds the capacity of all regions', () => {
    const shares = kurzeme();
    const demand = {riga: 20, kurzeme: 80, latgale: 20};
    shares.update('rooms', capacities(demand), 0);
    // Demand for 120 slots, capacity of 96: each region runs 1.25 times its own.
    const kept = shares.localShare('rooms') * 80;
    assert.ok(Math.abs(kept - 12 * 1.25) < 0.5, `${kept} slots' work`);
  });

  // Load pattern: long requests, for which the way to a region with room costs
  // less than the queues of a region that is well used.
  it('leave more room at home if requests have time for the way', () => {
    const demand = {riga: 10, kurzeme: 10, latgale: 10};
    const short = kurzeme();
    const unknown = kurzeme();
    const long = kurzeme();
    short.update('rooms', capacities(demand), 0, 200);
    unknown.update('rooms', capacities(demand), 0);
    long.update('rooms', capacities(demand), 0, 1_500);
    assert.equal(short.localShare('rooms'), unknown.localShare('rooms'));
    assert.ok(long.localShare('rooms') < short.localShare('rooms') - 0.1);
  });
});
