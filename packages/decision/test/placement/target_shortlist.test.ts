import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type RegisteredTarget, createTargetShortlist} from '../../src/index.js';

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
});
