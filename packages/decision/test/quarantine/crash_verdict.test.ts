import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type SurvivedLoad,
  binomialTail,
  countSeparate,
  judgeCrashCase,
} from '../../src/index.js';

/** Deaths at known moments. */
function at(...times: readonly number[]) {
  return times.map(atMs => ({fromMs: atMs, untilMs: atMs}));
}

function load(runsAtTarget: number, runsPerTargetSecond = 0): SurvivedLoad {
  return {runsAtTarget, runsPerTargetSecond};
}

describe('the verdict on a request under which targets died', () => {
  it('needs two losses', () => {
    const losses = at(0);
    const crashCase = {losses, deaths: 1, survived: undefined};
    assert.equal(judgeCrashCase(crashCase), 'clear');
  });

  it('blames a request that met all deaths and was never outlived', () => {
    const crashCase = {losses: at(0, 40), deaths: 2, survived: undefined};
    assert.equal(judgeCrashCase(crashCase), 'crashes-targets');
  });

  // Guards against a quarantine of requests that were sent to one dying target
  // after the other.
  it('waits for three separate losses while targets die without it', () => {
    const deaths = 6;
    const survived = undefined;
    for (const losses of [at(0, 500), at(0, 50, 100)]) {
      const crashCase = {losses, deaths, survived};
      assert.equal(judgeCrashCase(crashCase), 'contained');
    }
    const separate = {losses: at(0, 500, 1_000), deaths, survived};
    assert.equal(judgeCrashCase(separate), 'crashes-targets');
  });

  // Guards against answers to some callers that clear what crashes for others.
  it('blames a request whose losses its share of target time does not explain', () => {
    const losses = at(0, 500, 1_000, 1_500);
    const crashCase = {losses, deaths: 4, survived: load(0.08)};
    assert.equal(judgeCrashCase(crashCase), 'crashes-targets');
  });

  // Guards against a quarantine of what is in flight at most targets.
  it('clears a request that met as many deaths as its share of target time', () => {
    const losses = at(0, 500, 1_000, 1_500, 2_000, 2_500);
    for (const [deaths, runsAtTarget] of [
      [12, 0.5],
      [6, 1],
      [6, 0.4],
    ] as const) {
      const crashCase = {losses, deaths, survived: load(runsAtTarget)};
      assert.equal(judgeCrashCase(crashCase), 'clear');
    }
  });

  // Guards against requests that were sent to targets which had died unnoticed.
  it('clears a request that reaches each target before its death is noticed', () => {
    const losses = [0, 1_000, 2_000, 3_000, 4_000, 5_000].map(fromMs => ({
      fromMs,
      untilMs: fromMs + 500,
    }));
    const survived = load(0.02, 2);
    const crashCase = {losses, deaths: 6, survived};
    assert.equal(judgeCrashCase(crashCase), 'clear');
    const rare = {...crashCase, survived: load(0.02, 0.1)};
    assert.equal(judgeCrashCase(rare), 'crashes-targets');
  });

  it('clears a request that targets outlived if all losses came at once', () => {
    const losses = at(0, 10, 20, 30, 40, 50);
    const crashCase = {losses, deaths: 6, survived: load(0.05)};
    assert.equal(judgeCrashCase(crashCase), 'clear');
  });
});

describe('separate deaths', () => {
  it('are counted where no common moment explains them', () => {
    assert.equal(countSeparate([]), 0);
    assert.equal(countSeparate(at(0, 100, 200)), 1);
    assert.equal(countSeparate(at(0, 201, 402)), 3);
    const long = {fromMs: 0, untilMs: 1_000};
    assert.equal(countSeparate([long, ...at(500, 900)]), 2);
    assert.equal(countSeparate([long, {fromMs: 900, untilMs: 2_000}]), 1);
  });
});

describe('the probability of losses by chance', () => {
  it('is that of a binomial distribution', () => {
    assert.ok(Math.abs(binomialTail(2, 2, 0.1) - 0.01) < 1e-12);
    assert.ok(Math.abs(binomialTail(3, 1, 0.5) - 0.875) < 1e-12);
    assert.equal(binomialTail(5, 0, 0.1), 1);
    assert.equal(binomialTail(5, 5, 1), 1);
    assert.equal(binomialTail(5, 1, 0), 0);
    assert.ok(binomialTail(2_000, 1_000, 0.5) > 0.5);
  });
});
