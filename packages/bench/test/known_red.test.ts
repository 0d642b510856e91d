import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  findKnownFailure,
  isKnownSlopeFailure,
  parseKnownFailures,
  parseKnownSlopeFailures,
} from '../src/decision/known_failures.js';

const TEXT = `Text that stands between.
bench region-gone 3 shift-cap: 112 cohorts in an interval
slopes control-bytes-mean: 31 KB/s a node
`;

describe('the list of known red', () => {
  const known = parseKnownFailures(TEXT);
  const breach = {
    scenario: 'region-gone',
    seed: 3,
    bound: 'shift-cap',
    observed: 'seen now',
  } as const;

  it('passes over a breach that it names', () => {
    assert.ok(findKnownFailure(known, breach));
  });

  it('does not pass over another seed', () => {
    assert.equal(findKnownFailure(known, {...breach, seed: 4}), undefined);
  });

  it('does not pass over another bound', () => {
    const other = {...breach, bound: 'overload'} as const;
    assert.equal(findKnownFailure(known, other), undefined);
  });

  it('passes over a slope that it names and no other', () => {
    const slopes = parseKnownSlopeFailures(TEXT);
    assert.ok(isKnownSlopeFailure(slopes, 'control-bytes-mean'));
    assert.ok(!isKnownSlopeFailure(slopes, 'in-force'));
  });
});
