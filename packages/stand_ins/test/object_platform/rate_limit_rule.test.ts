import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type LimitStatement,
  type TargetArrival,
  findRateLimitViolations,
} from '../../src/index.js';

/** Arrivals and answers with the limit, at even intervals over 10 s. */
function observe(perSecond: number, limit: number) {
  const arrivals: TargetArrival[] = [];
  const statements: LimitStatement[] = [];
  for (let index = 0; index < perSecond * 10; index += 1) {
    const atMs = (index * 1_000) / perSecond;
    arrivals.push({attemptId: `${index}`, atMs});
    statements.push({attemptId: `${index}`, atMs: atMs + 50, perSecond: limit});
  }
  return {arrivals, statements, vmOf: () => 'edge-0'};
}

describe('the rule for stated rate limits', () => {
  it('allows one and a half times the limit and five requests in 4 s', () => {
    assert.deepEqual(findRateLimitViolations(observe(10, 6)), []);
    const [violation] = findRateLimitViolations(observe(11, 6));
    assert.equal(violation?.allowed, 41);
    assert.equal(violation?.arrived, 44);
  });

  it('counts a VM from half a second after it was told', () => {
    const observed = observe(11, 6);
    const toldLate = observed.statements.filter(({atMs}) => atMs > 5_000);
    const [violation] = findRateLimitViolations({
      ...observed,
      statements: toldLate,
    });
    assert.ok((violation?.fromMs ?? 0) >= 5_500);
  });

  it('counts no requests of VMs that are excused', () => {
    const observed = observe(50, 6);
    const excused = {...observed, vmOf: () => undefined};
    assert.deepEqual(findRateLimitViolations(excused), []);
  });
});
