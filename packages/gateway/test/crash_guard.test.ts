import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {createKeyValueLogger} from '@ibisbeam/library';
import {
  type CrashGuard,
  createCrashGuard,
} from '../src/forwarding/crash_guard.js';

describe('a request that crashes the targets that run it', () => {
  let told: string[];
  let guard: CrashGuard;

  beforeEach(() => {
    told = [];
    guard = createCrashGuard({
      timers: {nowMs: () => 0},
      log: createKeyValueLogger({level: 'error', fields: {}, write: () => {}}),
      notifyPeers: (fingerprint, target) =>
        told.push(`${fingerprint} ${target}`),
    });
  });

  function crash(life: string, fingerprint = 'a1'): void {
    guard.connectionBroken(life, fingerprint);
    guard.targetDied(life);
  }

  it('is under quarantine after two targets', () => {
    crash('i-1@1');
    assert.equal(guard.isQuarantined('a1'), false);
    crash('i-2@1');
    assert.equal(guard.isQuarantined('a1'), true);
    assert.equal(guard.isQuarantined('b2'), false);
  });

  it('is told to the other VMs, and counts what they tell', () => {
    crash('i-1@1');
    assert.equal(told.length, 1);
    assert.ok(told[0]?.startsWith('a1 '));
    guard.peerReported('a1', 'life-of-another');
    assert.equal(guard.isQuarantined('a1'), true);
  });

  it('is not suspected for a lost answer of a target that lives', () => {
    guard.connectionBroken('i-1@1', 'a1');
    guard.connectionBroken('i-2@1', 'a1');
    assert.equal(guard.hasSuspicions(), false);
    assert.equal(guard.isQuarantined('a1'), false);
  });
});
