import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {maximumIdleConnections} from '../../src/index.js';

describe('idle connections to a target', () => {
  // Guards against VMs that each keep as many connections as one may.
  for (const vmCount of [1, 7, 24, 32, 200]) {
    it(`leave room for those in use with ${vmCount} VMs`, () => {
      const total = maximumIdleConnections(330, vmCount) * vmCount;
      assert.ok(total <= 330 * 0.65, `${total} idle connections`);
    });
  }

  it('are kept by every VM', () => {
    assert.equal(maximumIdleConnections(100, 1_000), 1);
    assert.equal(maximumIdleConnections(330, 7), 24);
  });
});
