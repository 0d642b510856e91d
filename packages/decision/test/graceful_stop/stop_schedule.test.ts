import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {mayBegin, planStop, stopPhaseAt} from '../../src/index.js';

const GRACE_MS = 6_000;
const LAST_PHASE_BY_SIXTHS = (GRACE_MS * 5) / 6;

describe('the schedule of a graceful stop', () => {
  const schedule = planStop(GRACE_MS);

  it('has its phases in order', () => {
    const phases = [0, 2_199, 2_200, 2_799, 2_800, 5_599, 5_600].map(atMs =>
      stopPhaseAt(schedule, atMs),
    );
    assert.deepEqual(phases, [
      'announced',
      'announced',
      'closed',
      'closed',
      'finishing',
      'finishing',
      'ending',
    ]);
  });

  it('begins what can end, and refuses at once what cannot', () => {
    assert.ok(mayBegin(schedule, 0, 2_500));
    assert.ok(!mayBegin(schedule, 0, 3_000));
    assert.ok(mayBegin(schedule, 2_700, 1_400));
    assert.ok(!mayBegin(schedule, 2_700, 1_500));
  });

  it('begins nothing in the second half', () => {
    assert.ok(!mayBegin(schedule, 2_800, 0));
    assert.ok(!mayBegin(schedule, LAST_PHASE_BY_SIXTHS, 0));
  });

  // Guards against a grace period that ends before its announcement does.
  it('leaves half of any grace period to the runs that have begun', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 0, max: 60_000}),
        fc.integer({min: 0, max: 60_000}),
        fc.integer({min: 0, max: 60_000}),
        (graceMs, sinceStopMs, expectedMs) => {
          const plan = planStop(graceMs);
          assert.ok(plan.closedMs <= plan.finishingMs);
          assert.ok(plan.finishingMs * 2 <= plan.endingMs);
          assert.ok(plan.endingMs <= graceMs);
          if (mayBegin(plan, sinceStopMs, expectedMs)) {
            assert.ok(sinceStopMs + expectedMs <= plan.endingMs);
            assert.ok(sinceStopMs < plan.finishingMs);
          }
        },
      ),
    );
  });
});
