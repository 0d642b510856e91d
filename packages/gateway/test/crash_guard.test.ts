import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {createKeyValueLogger} from '@ibisbeam/library';
import {
  type CrashGuard,
  createCrashGuard,
} from '../src/forwarding/crash_guard.js';

describe('a request that crashes the targets that run it', () => {
  let notifications: string[];
  let answersTold: string[];
  let guard: CrashGuard;
  let nowMs: number;

  beforeEach(() => {
    notifications = [];
    answersTold = [];
    nowMs = 0;
    guard = createGuard();
  });

  function createGuard(
    notifyPeers = (fingerprint: string, target: string) => {
      notifications.push(`${fingerprint} ${target}`);
    },
  ): CrashGuard {
    return createCrashGuard({
      timers: {nowMs: () => nowMs},
      log: createKeyValueLogger({level: 'error', fields: {}, write: () => {}}),
      notifyPeers,
      notifyPeersOfAnswer: fingerprint => answersTold.push(fingerprint),
    });
  }

  function crash(incarnation: string, fingerprint = 'a1'): void {
    guard.recordBrokenConnection(incarnation, fingerprint);
    guard.recordTargetDeath(incarnation, 'unreachable');
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
    guard.recordPeerReport('a1', 'life-2', 0);
    assert.equal(guard.isQuarantined('a1'), true);
  });

  // Guards against a VM that starts later and runs the request again.
  it('is quarantined at a VM that hears of the losses later, and no longer than elsewhere', () => {
    crash('i-1@1');
    crash('i-2@1');
    nowMs = 50_000;
    const losses = guard.recentLosses();
    assert.equal(losses.length, 2);
    const later = createGuard();
    for (const {fingerprint, target, ageMs} of losses) {
      later.recordPeerReport(fingerprint, target, ageMs);
    }
    assert.equal(later.isQuarantined('a1'), true);
    nowMs = 60_001;
    assert.equal(guard.isQuarantined('a1'), false);
    assert.equal(later.isQuarantined('a1'), false);
  });

  // Guards against a caller whose requests come from several addresses, so that
  // each address loses targets of its own.
  it('is recognised from whatever address it comes', () => {
    const incoming = {
      method: 'GET',
      url: '/rooms/7',
      headers: {host: 'a.test'},
    };
    const [first, second] = ['100.64.0.7', '100.69.0.11'].map(clientAddress => {
      const request = {incoming, clientAddress, body: undefined};
      return guard.fingerprint(request);
    });
    assert.equal(first, second);
  });

  it('is told from requests to other hosts or paths, or with other bodies', () => {
    const incoming = {
      method: 'POST',
      url: '/rooms/7',
      headers: {host: 'a.test'},
    };
    const body = Buffer.from('1');
    const requests = [
      {incoming, body},
      {incoming, body: Buffer.from('2')},
      {incoming: {...incoming, method: 'PUT'}, body},
      {incoming: {...incoming, url: '/rooms/8'}, body},
      {incoming: {...incoming, headers: {host: 'b.test'}}, body},
    ];
    const fingerprints = new Set(requests.map(guard.fingerprint));
    assert.equal(fingerprints.size, requests.length);
  });

  /** Name by which VMs tell each other of the incarnation. */
  function nameOf(incarnation: string): string {
    const heard: string[] = [];
    const peer = createGuard((_, target) => heard.push(target));
    peer.recordBrokenConnection(incarnation, 'b2');
    peer.recordTargetDeath(incarnation, 'unreachable');
    return heard[0] ?? '';
  }

  // Guards against a VM that avoids the target and so never sees that it died.
  it('is reported once a peer tells of the death of its target', () => {
    guard.recordBrokenConnection('i-1@1', 'a1');
    guard.recordPeerReport('b2', nameOf('i-1@1'), 200);
    assert.deepEqual(notifications, [`a1 ${nameOf('i-1@1')}`]);
  });

  // Guards against a VM that hears of the death before it reads the break.
  it('is reported if its connection breaks right after the death is known', () => {
    guard.recordPeerReport('b2', nameOf('i-1@1'), 0);
    nowMs = 4_000;
    guard.recordBrokenConnection('i-1@1', 'a1');
    assert.deepEqual(notifications, [`a1 ${nameOf('i-1@1')}`]);
  });

  it('is not suspected if its connection breaks long after a reported death', () => {
    guard.recordPeerReport('b2', nameOf('i-1@1'), 50_000);
    guard.recordBrokenConnection('i-1@1', 'a1');
    assert.deepEqual(notifications, []);
  });

  // Guards against a quarantine of what many callers send, because it was in
  // flight when targets crashed for another reason.
  it('is no request that another target has answered lately', () => {
    guard.answered('a1');
    crash('i-1@1');
    crash('i-2@1');
    assert.equal(guard.isQuarantined('a1'), false);
    assert.deepEqual(notifications, []);
    assert.equal(guard.recordPeerReport('a1', 'life-3', 0), 'answered');
    nowMs = 10_001;
    assert.equal(guard.recordPeerReport('a1', 'life-3', 0), 'suspected');
  });

  it('is not suspected any more once a target has answered it, here or at a peer', () => {
    crash('i-1@1');
    guard.answered('a1');
    assert.deepEqual(answersTold, ['a1']);
    crash('i-2@1', 'b2');
    crash('i-3@1', 'b2');
    assert.equal(guard.isQuarantined('b2'), true);
    guard.recordPeerAnswer('b2');
    assert.equal(guard.isQuarantined('b2'), false);
    assert.deepEqual(answersTold, ['a1', 'b2']);
  });

  it('is told to be innocent by those who spread the suspicion, once', () => {
    guard.recordPeerReport('a1', 'life-1', 0);
    guard.recordPeerAnswer('a1');
    guard.recordPeerAnswer('a1');
    assert.deepEqual(answersTold, []);
  });

  // Guards against blame for connections that a partition of the VM broke.
  it('is not suspected for connections that were forgotten', () => {
    guard.recordBrokenConnection('i-1@1', 'a1');
    guard.forgetBrokenConnections();
    guard.recordTargetDeath('i-1@1', 'unreachable');
    assert.deepEqual(notifications, []);
  });

  it('is not suspected for a lost response if the target lives', () => {
    guard.recordBrokenConnection('i-1@1', 'a1');
    guard.recordBrokenConnection('i-2@1', 'a1');
    assert.equal(guard.hasSuspicions(), false);
    assert.equal(guard.isQuarantined('a1'), false);
  });
});
