import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTargetLoad} from '../../src/index.js';

const INCARNATION = 'i-1@1@10.0.0.1:80';

describe('response delay caused by requests of other VMs', () => {
  it('is measured within a few responses and decays within seconds', () => {
    const load = createTargetLoad();
    for (let answer = 0; answer < 10; answer += 1) {
      load.recordDelay(INCARNATION, 100, answer * 20);
    }
    const delayMs = load.delayMs(INCARNATION, 200);
    assert.ok(delayMs > 60 && delayMs <= 100, `${delayMs} ms`);
    assert.ok(load.delayMs(INCARNATION, 4_200) < 5);
  });

  it('counts one late response little and early ones not at all', () => {
    const load = createTargetLoad();
    load.recordDelay(INCARNATION, 170, 0);
    assert.ok(load.delayMs(INCARNATION, 0) < 50);
    const early = createTargetLoad();
    for (let answer = 0; answer < 10; answer += 1) {
      early.recordDelay(INCARNATION, -50, answer * 20);
    }
    assert.equal(early.delayMs(INCARNATION, 200), 0);
  });

  it('does not raise the slowdown of the target', () => {
    const load = createTargetLoad();
    for (let answer = 0; answer < 10; answer += 1) {
      load.recordResponse(INCARNATION, undefined);
    }
    assert.equal(load.slowdown(INCARNATION), 1);
  });
});

describe('failures that were this VM’s own', () => {
  // Guards against treating all targets as cold after a VM was cut off.
  it('are forgotten, and those of before are not', () => {
    const load = createTargetLoad();
    load.recordConnectionFailure('dead', 900);
    load.recordConnectionFailure('dead', 1_200);
    load.recordConnectionFailure('well', 1_100);
    load.recordConnectionFailure('well', 1_500);
    load.recordFailure('well');
    load.recordResponse('well', undefined);
    load.forgetFailures(1_000);
    assert.equal(load.isRecovering('well', 1_600), false);
    assert.equal(load.backoffUntilMs('well'), -Infinity);
    assert.equal(load.failureRate('well'), 0);
    assert.equal(load.isRecovering('dead', 1_600), true);
    load.recordConnectionFailure('well', 1_600);
    assert.equal(load.backoffUntilMs('well'), 1_800);
  });

  // Machines that targets share slow them down for some hundred milliseconds.
  it('takes what a target says of the moment for what it is', () => {
    const load = createTargetLoad();
    const report = {running: 1, waiting: 0, slots: 4};
    load.recordReport('one', {...report, workTimeRatio: 2.5}, 1_000);
    assert.equal(load.momentarySlowdown('one', 1_000), 2.5);
    assert.equal(load.momentarySlowdown('one', 1_250), 1.75);
    assert.equal(load.momentarySlowdown('one', 1_500), 1);
    load.recordReport('one', {...report, workTimeRatio: 0.5}, 1_600);
    assert.equal(load.momentarySlowdown('one', 1_600), 1);
    assert.equal(load.slowdown('one'), 1);
  });
});
