import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {createKeyValueLogger} from '@ibisbeam/library';
import {
  type CrashGuard,
  createCrashGuard,
} from '../src/forwarding/crash_guard.js';

describe('a request that crashes the targets that run it', () => {
  let notifications: string[];
  let guard: CrashGuard;

  beforeEach(() => {
    notifications = [];
    guard = createCrashGuard({
      timers: {nowMs: () => 0},
      log: createKeyValueLogger({level: 'error', fields: {}, write: () => {}}),
      notifyPeers: (fingerprint, target) =>
        notifications.push(`${fingerprint} ${target}`),
    });
  });

  function crash(incarnation: string, fingerprint = 'a1'): void {
    guard.recordBrokenConnection(incarnation, fingerprint);
    guard.recordTargetDeath(incarnation);
  }

  it('is quarantined after crashing two targets', () => {
    crash('i-1@1');
    assert.equal(guard.isQuarantined('a1'), false);
    crash('i-2@1');
    assert.equal(guard.isQuarantined('a1'), true);
    assert.equal(guard.isQuarantined('b2'), false);
  });

  it('is reported to peers, and counts their reports', () => {
    crash('i-1@1');
    assert.equal(notifications.length, 1);
    assert.ok(notifications[0]?.startsWith('a1 '));
    guard.recordPeerReport('a1', 'life-2');
    assert.equal(guard.isQuarantined('a1'), true);
  });

  it('is not suspected for a lost response if the target lives', () => {
    guard.recordBrokenConnection('i-1@1', 'a1');
    guard.recordBrokenConnection('i-2@1', 'a1');
    assert.equal(guard.hasSuspicions(), false);
    assert.equal(guard.isQuarantined('a1'), false);
  });
});
