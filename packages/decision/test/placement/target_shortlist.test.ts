import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type RankedTarget,
  type RegisteredTarget,
  createRandomSource,
  createTargetShortlist,
} from '../../src/index.js';

function fleet(count: number): readonly RegisteredTarget[] {
  return Array.from({length: count}, (_unused, index) => ({
    incarnation: `i-${index}@1`,
    region: ['riga', 'kurzeme', 'latgale'][index % 3] ?? 'riga',
    coldUntilMs: 0,
    entry: {
      id: `i-${index}`,
      service: 'rooms',
      host: '10.0.0.1',
      port: 80,
      zone: 'riga-a',
      slots: 6,
      draining: false,
      coldRemainingMs: 0,
      startedAtWallMs: 1,
    },
  }));
}

describe('target shortlist of a service with hundreds of targets', () => {
  it('contains a few targets of each region, the same on every VM', () => {
    const targets = fleet(300);
    const one = createTargetShortlist().candidates('rooms', targets, '17');
    const other = createTargetShortlist().candidates('rooms', targets, '17');
    assert.deepEqual(one, other);
    assert.equal(one.length, 24);
    for (const region of ['riga', 'kurzeme', 'latgale']) {
      const ranks = one
        .filter(({target}) => target.region === region)
        .map(({rank}) => rank);
      assert.deepEqual(ranks, [0, 1, 2, 3, 4, 5, 6, 7]);
    }
  });

  it('keeps the other candidates of a key when one target is removed', () => {
    const targets = fleet(300);
    const shortlist = createTargetShortlist();
    const before = shortlist.candidates('rooms', targets, '17');
    const [first] = before;
    const rest = targets.filter(target => target !== first?.target);
    const after = shortlist.candidates('rooms', rest, '17');
    const kept = after.filter(({target}) =>
      before.some(candidate => candidate.target === target),
    );
    assert.equal(kept.length, 23);
  });

  it('spreads the keys over all targets', () => {
    const targets = fleet(90);
    const shortlist = createTargetShortlist();
    const firsts = new Set<string>();
    for (let key = 0; key < 2_000; key += 1) {
      for (const {target, rank} of shortlist.candidates(
        'rooms',
        targets,
        String(key),
      )) {
        if (rank === 0) {
          firsts.add(target.incarnation);
        }
      }
    }
    assert.equal(firsts.size, 90);
  });

  it('contains the same target of a zone as the region for a key', () => {
    const targets = fleet(300).map((target, index) => ({
      ...target,
      entry: {...target.entry, zone: `${target.region}-${index % 2}`},
    }));
    const byZone = createTargetShortlist('zone').candidates(
      'rooms',
      targets,
      '17',
    );
    const byRegion = createTargetShortlist().candidates('rooms', targets, '17');
    assert.equal(byZone.length, 24);
    const preferred = byZone.filter(({rank}) => rank === 0);
    assert.equal(preferred.length, 6);
    for (const {target, rank} of byRegion) {
      const isPreferred = preferred.some(one => one.target === target);
      assert.ok(rank > 0 || isPreferred);
    }
  });

  // Guards against lists that differ between VMs that saw other changes.
  it('is the same after many changes as if made anew', () => {
    const random = createRandomSource(9);
    const kept = createTargetShortlist();
    let targets = [...fleet(120)];
    for (let round = 0; round < 300; round += 1) {
      const index = random.below(targets.length);
      const target = targets[index];
      if (target && round % 3 === 0) {
        const entry = {...target.entry, draining: round % 2 === 0};
        targets = targets.with(index, {...target, entry});
      } else if (round % 3 === 1) {
        targets = targets.toSpliced(index, 1);
      } else if (target) {
        targets = [...targets, {...target, incarnation: `i-new-${round}@1`}];
      }
      // Keys that are asked for rarely lack many changes.
      for (const key of ['hot', `warm-${round % 7}`, `cold-${round % 90}`]) {
        const anew = createTargetShortlist().candidates('rooms', targets, key);
        const found = kept.candidates('rooms', targets, key);
        assert.deepEqual(byName(found), byName(anew), key);
      }
    }
  });
});

/** The order between regions means nothing. */
function byName(
  candidates: readonly RankedTarget[],
): ReadonlyMap<string, RankedTarget> {
  return new Map(
    [...candidates]
      .sort((one, other) =>
        one.target.incarnation < other.target.incarnation ? -1 : 1,
      )
      .map(candidate => [candidate.target.incarnation, candidate]),
  );
}
