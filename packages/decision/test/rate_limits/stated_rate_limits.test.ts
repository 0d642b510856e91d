import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createStatedRateLimits} from '../../src/index.js';

describe('rate limits that targets state', () => {
  it('hold from the first answer that states one', () => {
    const limits = createStatedRateLimits();
    assert.equal(limits.recordAnswer('target', 7.1, 0), 'stated');
    assert.equal(limits.recordAnswer('target', 7.2, 10), undefined);
    assert.equal(limits.recordAnswer('target', 3, 20), 'changed');
    assert.equal(limits.limitOf('target'), 3);
  });

  it('are lifted by an answer without one, but not by one that was overtaken', () => {
    const limits = createStatedRateLimits();
    limits.recordAnswer('target', 7, 0);
    assert.equal(limits.recordAnswer('target', undefined, 300), undefined);
    assert.equal(limits.limitOf('target'), 7);
    assert.equal(limits.recordAnswer('target', undefined, 1_300), 'lifted');
    assert.equal(limits.limitOf('target'), undefined);
  });

  it('follow the newest statement, whichever VM heard it', () => {
    const limits = createStatedRateLimits();
    const report = {incarnation: 'target', perSecond: 5, ageMs: 400};
    assert.equal(limits.recordReport(report, 1_000), 'stated');
    const older = {...report, perSecond: 9, ageMs: 900};
    assert.equal(limits.recordReport(older, 1_200), undefined);
    assert.equal(limits.limitOf('target'), 5);
    const lifted = {...report, perSecond: undefined, ageMs: 0};
    assert.equal(limits.recordReport(lifted, 3_000), 'lifted');
  });

  it('are told once to connected VMs, and all of them to a new one', () => {
    const limits = createStatedRateLimits();
    limits.recordAnswer('heard', 7, 0);
    limits.recordReport({incarnation: 'told', perSecond: 4, ageMs: 0}, 0);
    assert.deepEqual(limits.takeNews(100), [
      {incarnation: 'heard', perSecond: 7, ageMs: 100},
    ]);
    assert.deepEqual(limits.takeNews(200), []);
    assert.equal(limits.reports(200).length, 2);
  });

  it('are forgotten when nobody hears of them, or the target is gone', () => {
    const limits = createStatedRateLimits();
    limits.recordAnswer('silent', 7, 0);
    limits.recordAnswer('gone', 7, 5_000);
    assert.deepEqual(limits.expire(8_000), []);
    assert.deepEqual(limits.expire(8_001), ['silent']);
    assert.deepEqual(limits.limited(), ['gone']);
    limits.remove('gone');
    assert.deepEqual(limits.limited(), []);
  });
});
