import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTargetLoad} from '../../src/index.js';

const LIFE = 'i-1@1@10.0.0.1:80';

describe('response delay caused by requests of other VMs', () => {
  it('is measured within a few responses and decays within seconds', () => {
    const load = createTargetLoad();
    for (let answer = 0; answer < 10; answer += 1) {
      load.delayed(LIFE, 100, answer * 20);
    }
    const delayMs = load.delayMs(LIFE, 200);
    assert.ok(delayMs > 60 && delayMs <= 100, `${delayMs} ms`);
    assert.ok(load.delayMs(LIFE, 4_200) < 5);
  });

  it('counts one late response little and early ones not at all', () => {
    const load = createTargetLoad();
    load.delayed(LIFE, 170, 0);
    assert.ok(load.delayMs(LIFE, 0) < 50);
    const early = createTargetLoad();
    for (let answer = 0; answer < 10; answer += 1) {
      early.delayed(LIFE, -50, answer * 20);
    }
    assert.equal(early.delayMs(LIFE, 200), 0);
  });

  it('does not raise the slowdown of the target', () => {
    const load = createTargetLoad();
    for (let answer = 0; answer < 10; answer += 1) {
      load.answered(LIFE, undefined);
    }
    assert.equal(load.slowdown(LIFE), 1);
  });
});
