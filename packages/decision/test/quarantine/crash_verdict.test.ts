import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {binomialTail, countSeparate, judgeCrashCase} from '../../src/index.js';

/** Deaths at known moments. */
function at(...times: readonly number[]) {
  return times.map(atMs => ({fromMs: atMs, untilMs: atMs}));
}

describe('the verdict on a request under which targets died', () => {
  it('needs two losses', () => {
    const losses = at(0);
    const crashCase = {losses, deaths: 1, survivedShare: 0};
    assert.equal(judgeCrashCase(crashCase), 'clear');
  });

  it('blames a request that met all deaths and was never outlived', () => {
    const crashCase = {losses: at(0, 40), deaths: 2, survivedShare: 0};
    assert.equal(judgeCrashCase(crashCase), 'crashes-targets');
  });

  // Guards against a quarantine of requests that were sent to one dying target
  // after the other.
  it('waits for three separate losses while targets die without it', () => {
    const deaths = 6;
    const survivedShare = 0;
    for (const losses of [at(0, 500), at(0, 50, 100)]) {
      const crashCase = {losses, deaths, survivedShare};
      assert.equal(judgeCrashCase(crashCase), 'contained');
    }
    const separate = {losses: at(0, 500, 1_000), deaths, survivedShare};
    assert.equal(judgeCrashCase(separate), 'crashes-targets');
  });

  // Guards against answers to some callers that clear what crashes for others.
  it('blames a request whose losses its share of target time does not explain', () => {
    const losses = at(0, 500, 1_000, 1_500);
    const crashCase = {losses, deaths: 4, survivedShare: 0.08};
    assert.equal(judgeCrashCase(crashCase), 'crashes-targets');
  });

  // Guards against a quarantine of what is in flight at most targets.
  it('clears a request that met as many deaths as its share of target time', () => {
    const losses = at(0, 500, 1_000, 1_500, 2_000, 2_500);
    for (const [deaths, survivedShare] of [
      [12, 0.5],
      [6, 1],
      [6, 0.4],
    ] as const) {
      const crashCase = {losses, deaths, survivedShare};
      assert.equal(judgeCrashCase(crashCase), 'clear');
    }
  });

  it('clears a request that targets outlived if all losses came at once', () => {
    const losses = at(0, 10, 20, 30, 40, 50);
    const crashCase = {losses, deaths: 6, survivedShare: 0.05};
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
