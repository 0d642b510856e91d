import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type FirstTry,
  type RecoverViolation,
  findRecoverViolation,
} from '../../src/index.js';

interface Counts {
  readonly servedThere: number;
  readonly failedThere: number;
  readonly servedElsewhere: number;
  readonly failedElsewhere: number;
}

const CUT_MS = 1_000;
const RESTORED_MS = 10_000;

function judge(counts: Counts, sentAtMs = 5_000): RecoverViolation | undefined {
  const tries: FirstTry[] = [];
  function add(vm: string, served: boolean, count: number): void {
    for (let index = 0; index < count; index += 1) {
      tries.push({vm, sentAtMs, served});
    }
  }
  add('cut', true, counts.servedThere);
  add('cut', false, counts.failedThere);
  add('other', true, counts.servedElsewhere);
  add('other', false, counts.failedElsewhere);
  return findRecoverViolation(tries, {
    vms: new Set(['cut']),
    fromMs: CUT_MS,
    untilMs: RESTORED_MS,
  });
}

describe('the rule for VMs that are partitioned from all targets', () => {
  const incident: Counts = {
    servedThere: 0,
    failedThere: 138,
    servedElsewhere: 4_520,
    failedElsewhere: 4,
  };

  it('is broken by what was seen in the incident', () => {
    assert.deepEqual(judge(incident), {
      servedThere: 0,
      triedThere: 138,
      servedElsewhere: 4_520,
      triedElsewhere: 4_524,
    });
  });

  it('allows ten and one in 50 of all first tries to fail there', () => {
    const base = {...incident, failedElsewhere: 0, servedElsewhere: 980};
    assert.equal(judge({...base, failedThere: 30}), undefined);
    assert.ok(judge({...base, failedThere: 31}));
  });

  it('allows failures there if two thirds as many are served', () => {
    const base = {...incident, servedElsewhere: 500, failedElsewhere: 500};
    assert.equal(
      judge({...base, servedThere: 100, failedThere: 200}),
      undefined,
    );
    assert.ok(judge({...base, servedThere: 99, failedThere: 201}));
  });

  it('counts neither the first three seconds nor what follows the end', () => {
    assert.equal(judge(incident, CUT_MS + 2_999), undefined);
    assert.ok(judge(incident, CUT_MS + 3_000));
    assert.equal(judge(incident, RESTORED_MS), undefined);
  });
});
