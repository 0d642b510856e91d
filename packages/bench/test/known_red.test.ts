import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  findKnownRed,
  findKnownSlope,
  parseKnownRed,
  parseKnownSlopes,
} from '../src/decision/known_red.js';

const TEXT = `Text that stands between.
bench region-gone 3 shift-cap: 112 cohorts in an interval
slopes control-bytes-mean: 31 KB/s a node
`;

describe('the list of known red', () => {
  const known = parseKnownRed(TEXT);
  const breach = {
    scenario: 'region-gone',
    seed: 3,
    bound: 'shift-cap',
    seen: 'seen now',
  } as const;

  it('passes over a breach that it names', () => {
    assert.ok(findKnownRed(known, breach));
  });

  it('does not pass over another seed', () => {
    assert.equal(findKnownRed(known, {...breach, seed: 4}), undefined);
  });

  it('does not pass over another bound', () => {
    const other = {...breach, bound: 'overload'} as const;
    assert.equal(findKnownRed(known, other), undefined);
  });

  it('passes over a slope that it names and no other', () => {
    const slopes = parseKnownSlopes(TEXT);
    assert.ok(findKnownSlope(slopes, 'control-bytes-mean'));
    assert.ok(!findKnownSlope(slopes, 'in-force'));
  });
});
