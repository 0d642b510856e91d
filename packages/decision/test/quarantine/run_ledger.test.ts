import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {
  type RunLedger,
  type TargetRun,
  createRunLedger,
} from '../../src/index.js';

const DEADLINE_MS = 1_000;
const EXPECTED_MS = 100;

describe('runs whose end is not known', () => {
  let ledger: RunLedger;

  beforeEach(() => {
    ledger = createRunLedger();
  });

  function start(
    fingerprint: string,
    sentAtMs: number,
    target = 'incarnation',
    expectedMs = EXPECTED_MS,
  ): TargetRun {
    const run = {
      target,
      sentAtMs,
      expectedMs,
      givesUpAtMs: sentAtMs + DEADLINE_MS,
      fingerprint: () => fingerprint,
    };
    ledger.start(run, true);
    return run;
  }

  function fatalAt(deadByMs: number, target = 'incarnation'): string[] {
    return ledger
      .recordDeath(target, deadByMs)
      .map(({fingerprint, fromMs, untilMs}) =>
        [fingerprint, fromMs, untilMs].join(' '),
      );
  }

  it('may have been fatal if the crash is detected soon after a break', () => {
    ledger.recordBreak(start('poison', 0), 0);
    ledger.recordBreak(start('other', 0), 10);
    assert.deepEqual(fatalAt(1_000), ['poison 0 0', 'other 10 10']);
    assert.deepEqual(fatalAt(1_001), []);
  });

  it('were not fatal if the crash comes later or hits another target', () => {
    ledger.recordBreak(start('innocent', 0), 0);
    assert.deepEqual(fatalAt(6_000), []);
    ledger.recordBreak(start('innocent', 0), 0);
    assert.deepEqual(fatalAt(100, 'another'), []);
  });

  // Guards against attempts that were ended here and count for nothing.
  it('may have been fatal after their attempts were cancelled', () => {
    ledger.recordCancel(start('poison', 0), 25);
    assert.deepEqual(fatalAt(300), ['poison 0 300']);
  });

  it('leave the time of the death open from the last sign of the target', () => {
    ledger.recordAnswer(start('earlier', 0), 50);
    const run = {
      target: 'incarnation',
      sentAtMs: 400,
      expectedMs: EXPECTED_MS,
      givesUpAtMs: 400 + DEADLINE_MS,
      fingerprint: () => 'poison',
    };
    ledger.start(run, false);
    ledger.recordCancel(run, 425);
    assert.deepEqual(fatalAt(700), ['poison 50 700']);
  });

  it('were not fatal if they began after the death', () => {
    const early = start('early', 0);
    fatalAt(100);
    ledger.recordCancel(start('late', 200), 300);
    const fatal = ledger.recordCancel(early, 300);
    assert.equal(fatal?.fingerprint, 'early');
    assert.equal(ledger.unsettledCount(), 1);
  });

  it('are settled by an answer that comes after their end', () => {
    ledger.recordCancel(start('cancelled', 0), 25);
    const running = start('running', 900);
    const early = start('early', 30);
    const settledEarly = ledger.recordAnswer(early, 500);
    assert.deepEqual(
      settledEarly.map(run => run.fingerprint()),
      ['early'],
    );
    const settled = ledger.recordAnswer(running, 1_200);
    assert.deepEqual(
      settled.map(run => [run.fingerprint(), run.durationMs]),
      [
        ['running', 300],
        ['cancelled', 1_000],
      ],
    );
    assert.deepEqual(fatalAt(1_300), []);
  });

  // Guards against a restarted target that seems to have outlived its crash.
  it('are not settled by an answer to what the target got after their end', () => {
    ledger.recordBreak(start('poison', 0), 40);
    ledger.recordAnswer(start('next', 3_000), 3_050);
    assert.deepEqual(fatalAt(3_100), ['poison 40 40']);
  });

  it('are fatal while they are open only if the dead target stays silent', () => {
    start('poison', 0);
    const answered = start('innocent', 0);
    fatalAt(100);
    assert.deepEqual(ledger.sweep(350).fatal, []);
    ledger.recordAnswer(answered, 350);
    assert.deepEqual(ledger.sweep(1_000).fatal, []);
    fatalAt(1_000);
    assert.deepEqual(
      ledger.sweep(1_300).fatal.map(({fingerprint}) => fingerprint),
      ['poison'],
    );
  });

  // Guards against a burst of probes while all targets are slow.
  it('have silent targets named a few at a time, in turn', () => {
    const targets = ['a', 'b', 'c', 'd', 'e'];
    for (const target of targets) {
      start('waiting', 0, target);
    }
    const named = [1_100, 1_200, 1_300].flatMap(
      nowMs => ledger.sweep(nowMs).silentTargets,
    );
    assert.deepEqual(named, targets);
    assert.deepEqual(ledger.sweep(1_400).silentTargets, []);
    assert.deepEqual(ledger.sweep(1_700).silentTargets, ['a', 'b']);
  });

  // Guards against a probe of each target that works on a long request.
  it('make a target silent only once its answer is long overdue', () => {
    start('long', 0, 'a', 2_000);
    start('longest', 0, 'b', 9_000);
    assert.deepEqual(ledger.sweep(2_500).silentTargets, []);
    assert.deepEqual(ledger.sweep(2_501).silentTargets, ['a']);
    assert.deepEqual(ledger.sweep(3_001).silentTargets, ['b', 'a']);
  });

  it('are bounded in number and time', () => {
    for (let index = 0; index < 100; index += 1) {
      ledger.recordCancel(start(`run-${index}`, 0), 1);
    }
    assert.equal(ledger.unsettledCount(), 64);
    ledger.sweep(DEADLINE_MS + 5_001);
    assert.equal(ledger.unsettledCount(), 0);
  });
});
