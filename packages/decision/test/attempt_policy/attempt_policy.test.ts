import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  type AttemptHistory,
  type AttemptOutcome,
  createWindowedRetryBudget,
  decideNextStep,
} from '../../src/index.js';

const FRESH: AttemptHistory = {
  routeKind: 'idempotent',
  maximumAttempts: 2,
  possiblyExecuted: 1,
  tried: 1,
  replayable: true,
  timeLeftMs: 500,
};

const outcome = fc.oneof(
  fc.record({
    kind: fc.constant('answered' as const),
    status: fc.integer({min: 200, max: 599}),
  }),
  fc.record({
    kind: fc.constant('not-executed' as const),
    status: fc.constantFrom(503, 429, 421, 400),
  }),
  fc.record({kind: fc.constant('not-sent' as const), cause: fc.string()}),
  fc.record({kind: fc.constant('withheld' as const), cause: fc.string()}),
  fc.record({kind: fc.constant('broken' as const), cause: fc.string()}),
);

const history = fc.record({
  routeKind: fc.constantFrom(
    'idempotent' as const,
    'non-idempotent' as const,
    'download' as const,
  ),
  maximumAttempts: fc.integer({min: 1, max: 4}),
  possiblyExecuted: fc.integer({min: 0, max: 4}),
  tried: fc.integer({min: 1, max: 5}),
  replayable: fc.boolean(),
  timeLeftMs: fc.integer({min: -100, max: 2_000}),
});

function mayHaveRun(ended: AttemptOutcome): boolean {
  return ended.kind === 'answered' || ended.kind === 'broken';
}

describe('next step after an attempt', () => {
  it('never retries a non-idempotent request that may have been executed', () => {
    fc.assert(
      fc.property(outcome, history, (ended, before) => {
        const step = decideNextStep(ended, {
          ...before,
          routeKind: 'non-idempotent',
        });
        assert.ok(!(mayHaveRun(ended) && step.kind === 'try-another'));
      }),
    );
  });

  it('never reports a request as not executed if it may have been', () => {
    fc.assert(
      fc.property(outcome, history, (ended, before) => {
        const possiblyExecuted =
          before.possiblyExecuted + (mayHaveRun(ended) ? 1 : 0);
        const step = decideNextStep(ended, {
          ...before,
          possiblyExecuted,
        });
        assert.ok(
          !(
            possiblyExecuted > 0 &&
            step.kind === 'fail' &&
            step.status === 503
          ),
        );
      }),
    );
  });

  it('respects the attempt limit of the route', () => {
    const step = decideNextStep(
      {kind: 'broken', cause: 'reset'},
      {...FRESH, possiblyExecuted: 2, tried: 2},
    );
    assert.deepEqual(step, {kind: 'fail', status: 502});
  });

  it('maps a 503 without a statement of non-execution to 502', () => {
    const step = decideNextStep(
      {kind: 'answered', status: 503},
      {...FRESH, routeKind: 'non-idempotent'},
    );
    assert.deepEqual(step, {kind: 'fail', status: 502});
  });

  it('delivers a failure response if the request may not be retried', () => {
    const step = decideNextStep(
      {kind: 'answered', status: 500},
      {...FRESH, routeKind: 'non-idempotent'},
    );
    assert.deepEqual(step, {kind: 'deliver'});
  });
});

describe('windowed retry budget', () => {
  function createBudget(vmCount: number) {
    return createWindowedRetryBudget({
      windowMs: 10_000,
      ratio: () => 0.2,
      slack: () => 70,
      vmCount: () => vmCount,
    });
  }

  it('keeps the retries of a whole fleet below the bound of a window', () => {
    const fleet = Array.from({length: 7}, () => createBudget(7));
    let requests = 0;
    let retries = 0;
    for (let nowMs = 0; nowMs < 9_000; nowMs += 10) {
      for (const vm of fleet) {
        vm.recordRequest('rooms', nowMs);
        requests += 1;
        if (vm.takeRetry('rooms', nowMs)) {
          retries += 1;
        }
      }
    }
    assert.ok(retries <= requests * 0.2 + 70, `${retries} of ${requests}`);
    assert.ok(retries > requests * 0.1);
  });

  it('ignores retries that are older than the window', () => {
    const vm = createBudget(1);
    while (vm.takeRetry('rooms', 0)) {
      // Exhausts the slack.
    }
    assert.equal(vm.takeRetry('rooms', 5_000), false);
    assert.equal(vm.takeRetry('rooms', 11_000), true);
  });
});

describe('an attempt that was withheld', () => {
  // Guards against requests that pay for a send that never happened.
  it('goes to another target at no cost, whatever may run once only', () => {
    const withheld = {kind: 'withheld', cause: 'it leaves'} as const;
    const history = {...FRESH, possiblyExecuted: 0, tried: 0};
    for (const routeKind of ['idempotent', 'non-idempotent'] as const) {
      assert.deepEqual(decideNextStep(withheld, {...history, routeKind}), {
        kind: 'try-another',
        costsBudget: false,
      });
    }
    assert.deepEqual(decideNextStep(withheld, {...history, timeLeftMs: 0}), {
      kind: 'fail',
      status: 503,
    });
  });
});

describe('an attempt that no message can hold', () => {
  // Guards against a request that is tried at one target after the other though
  // none can be sent it.
  it('fails the request, and says truthfully whether it may have run', () => {
    const unsendable = {kind: 'unsendable', cause: 'a tab'} as const;
    assert.deepEqual(
      decideNextStep(unsendable, {...FRESH, possiblyExecuted: 0}),
      {
        kind: 'fail',
        status: 503,
      },
    );
    assert.deepEqual(
      decideNextStep(unsendable, {...FRESH, possiblyExecuted: 1}),
      {
        kind: 'fail',
        status: 502,
      },
    );
  });
});
