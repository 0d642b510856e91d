import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {
  type RunRate,
  type SurvivedRunsReport,
  hash32,
} from '@ibisbeam/decision';
import {createKeyValueLogger} from '@ibisbeam/library';
import {
  type CrashGuard,
  type ReportedLoss,
  type RunRecorder,
  createCrashGuard,
} from '../src/forwarding/crash_guard.js';

const SERVICE = 'rooms';
const TARGET_COUNT = 12;
const DEADLINE_MS = 1_200;
const EXPECTED_MS = 100;

describe('a request that crashes the targets that run it', () => {
  let notifications: string[];
  let survivalTold: SurvivedRunsReport[];
  let probed: string[];
  let guard: CrashGuard;
  let nowMs: number;

  beforeEach(() => {
    notifications = [];
    survivalTold = [];
    probed = [];
    nowMs = 0;
    guard = createGuard();
  });

  function createGuard(
    notifyPeersOfLoss = ({fingerprint, target}: ReportedLoss) => {
      notifications.push(`${fingerprint} ${target}`);
    },
  ): CrashGuard {
    return createCrashGuard({
      self: 'edge-0',
      timers: {nowMs: () => nowMs},
      log: createKeyValueLogger({level: 'error', fields: {}, write: () => {}}),
      liveVms: () => ['edge-0'],
      targetCount: () => TARGET_COUNT,
      probe: incarnation => probed.push(incarnation),
      notifyPeersOfLoss,
      notifyPeersOfSurvival: report => survivalTold.push(report),
    });
  }

  function send(
    incarnation: string,
    fingerprint = 'a1',
    sender = guard,
  ): RunRecorder {
    return sender.follow({
      incarnation,
      expectedMs: EXPECTED_MS,
      givesUpAtMs: nowMs + DEADLINE_MS,
      fingerprint: () => fingerprint,
      isCheap: true,
      isNewConnection: true,
    });
  }

  function breakConnection(incarnation: string, fingerprint?: string): void {
    send(incarnation, fingerprint).broke();
  }

  function die(incarnation: string): void {
    guard.recordTargetDeath(incarnation, 'unreachable');
  }

  function crash(incarnation: string, fingerprint?: string): void {
    breakConnection(incarnation, fingerprint);
    die(incarnation);
  }

  function isQuarantined(fingerprint: string, at = guard): boolean {
    return at.verdictOf(fingerprint, SERVICE) === 'crashes-targets';
  }

  function reportLoss(fingerprint: string, target: string, ageMs = 0): void {
    guard.recordPeerLoss({fingerprint, target, ageMs, spanMs: 0, deaths: 0});
  }

  /** A target runs the request for a while, and answers it. */
  function survive(fingerprint: string, spanMs: number): void {
    const run = send('i-sound@1', fingerprint);
    nowMs += spanMs;
    run.answered();
  }

  function rate(runsPerSecond: number, msPerSecond: number): RunRate {
    return {runsPerSecond, msPerSecond};
  }

  it('is quarantined after crashing two targets', () => {
    crash('i-1@1');
    assert.equal(isQuarantined('a1'), false);
    crash('i-2@1');
    assert.equal(isQuarantined('a1'), true);
    assert.equal(isQuarantined('b2'), false);
  });

  it('is reported to peers, and counts their reports', () => {
    crash('i-1@1');
    assert.equal(notifications.length, 1);
    assert.ok(notifications[0]?.startsWith('a1 '));
    reportLoss('a1', 'life-2');
    assert.equal(isQuarantined('a1'), true);
  });

  // Guards against a VM that starts later and runs the request again.
  it('is quarantined at a VM that hears of the losses later, and no longer than elsewhere', () => {
    crash('i-1@1');
    crash('i-2@1');
    nowMs = 50_000;
    const {losses} = guard.reports();
    assert.equal(losses.length, 2);
    const later = createGuard();
    losses.forEach(later.recordPeerLoss);
    assert.equal(isQuarantined('a1', later), true);
    nowMs = 60_001;
    assert.equal(isQuarantined('a1'), false);
    assert.equal(isQuarantined('a1', later), false);
  });

  // Guards against a VM that starts, has seen neither the other deaths nor the
  // runs that were survived, and refuses what all others serve.
  it('is weighed by a VM that starts as by the one that tells it', () => {
    guard.recordPeerSurvivedRuns('edge-1', 'a1', rate(30, 3_600));
    for (let index = 0; index < 5; index += 1) {
      crash(`i-${index}@1`);
      crash(`j-${index}@1`, 'other');
      nowMs += 1_000;
    }
    assert.equal(isQuarantined('a1'), false);
    nowMs += 8_000;
    const {losses, survived} = guard.reports();
    const later = createGuard();
    losses.forEach(later.recordPeerLoss);
    for (const {vm, fingerprint, ...told} of survived) {
      later.recordPeerSurvivedRuns(vm, fingerprint, told);
    }
    assert.ok(losses.some(({fingerprint}) => fingerprint === 'a1'));
    assert.equal(isQuarantined('a1', later), false);
  });

  // Guards against mass deaths that push the gravest case out of what is told.
  it('is told to a VM that starts before requests with fewer losses', () => {
    crash('i-1@1');
    crash('i-2@1');
    for (let index = 0; index < 100; index += 1) {
      crash('i-3@1', `single-${index}`);
    }
    const told = guard
      .reports()
      .losses.filter(({fingerprint}) => fingerprint === 'a1');
    assert.equal(told.length, 2);
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
    const peer = createGuard(({target}) => heard.push(target));
    send(incarnation, 'b2', peer).broke();
    peer.recordTargetDeath(incarnation, 'unreachable');
    return heard[0] ?? '';
  }

  // Guards against a VM that avoids the target and so never sees that it died.
  it('is reported once a peer tells of the death of its target', () => {
    const run = send('i-1@1');
    nowMs = 250;
    run.broke();
    reportLoss('b2', nameOf('i-1@1'), 200);
    assert.deepEqual(notifications, [`a1 ${nameOf('i-1@1')}`]);
  });

  // Guards against a VM that hears of the death before it reads the break.
  it('is reported if its connection breaks right after the death is known', () => {
    const run = send('i-1@1');
    reportLoss('b2', nameOf('i-1@1'));
    nowMs = 4_000;
    run.broke();
    assert.deepEqual(notifications, [`a1 ${nameOf('i-1@1')}`]);
  });

  it('is not suspected if its connection breaks long after a reported death', () => {
    reportLoss('b2', nameOf('i-1@1'), 50_000);
    breakConnection('i-1@1');
    assert.deepEqual(notifications, []);
  });

  // Guards against an attempt that was ended here and counts for nothing.
  it('is reported if this VM ended its attempt before the target was found dead', () => {
    const run = send('i-1@1');
    nowMs = 25;
    run.cancelled();
    nowMs = 300;
    die('i-1@1');
    assert.deepEqual(notifications, [`a1 ${nameOf('i-1@1')}`]);
  });

  // Guards against a silent target whose attempts run until their deadline.
  it('is reported while its attempt still waits for a target that was found dead', () => {
    send('i-1@1');
    nowMs = 200;
    die('i-1@1');
    guard.update();
    assert.deepEqual(notifications, []);
    nowMs = 600;
    guard.update();
    assert.deepEqual(notifications, [`a1 ${nameOf('i-1@1')}`]);
  });

  // Guards against a silent target to which nothing else is sent.
  it('has its target probed if that stays silent', () => {
    send('i-1@1').cancelled();
    send('i-2@1');
    nowMs = 400;
    guard.update();
    assert.deepEqual(probed, ['i-1@1']);
    nowMs = 1_100;
    guard.update();
    assert.deepEqual(probed, ['i-1@1', 'i-2@1', 'i-1@1']);
  });

  // Guards against one answer that ends each suspicion.
  it('stays quarantined though it is answered now and then', () => {
    survive('a1', 40);
    for (let index = 0; index < 4; index += 1) {
      nowMs += 1_000;
      crash(`i-${index}@1`);
      survive('a1', 40);
    }
    assert.equal(isQuarantined('a1'), true);
  });

  // Guards against a quarantine of what many callers send, because it was in
  // flight when targets crashed for another reason.
  it('is no request that targets have outlived as often as its losses let expect', () => {
    for (let index = 0; index < 100; index += 1) {
      survive('a1', 50);
      const runs = Array.from({length: 5}, (_, other) => send(`s-${other}@1`));
      nowMs += 50;
      runs.forEach(run => run.answered());
    }
    for (let index = 0; index < 6; index += 1) {
      crash(`i-${index}@1`, index % 2 === 0 ? 'a1' : 'other');
      nowMs += 1_000;
    }
    assert.equal(isQuarantined('a1'), false);
  });

  it('is released once peers have outlived it as often', () => {
    for (let index = 0; index < 3; index += 1) {
      crash(`i-${index}@1`);
      nowMs += 1_000;
    }
    assert.equal(isQuarantined('a1'), true);
    guard.recordPeerSurvivedRuns('edge-1', 'a1', rate(1, 40));
    assert.equal(isQuarantined('a1'), true);
    guard.recordPeerSurvivedRuns('edge-2', 'a1', rate(20, 6_000));
    assert.equal(isQuarantined('a1'), false);
  });

  // Guards against peers of an older build, which do not tell how often.
  it('counts a peer that only says that it was answered as one that always runs it', () => {
    for (let index = 0; index < 3; index += 1) {
      crash(`i-${index}@1`);
      nowMs += 1_000;
    }
    guard.recordPeerSurvivedRuns('edge-1', 'a1', undefined);
    assert.equal(isQuarantined('a1'), false);
    crash('i-4@1');
    assert.equal(isQuarantined('a1'), true);
  });

  // Guards against a VM that counts its own runs twice once a peer repeats them.
  it('has the runs of this VM counted once, also if a peer repeats them', () => {
    survive('a1', 40);
    for (let index = 0; index < 3; index += 1) {
      crash(`i-${index}@1`);
      nowMs += 1_000;
    }
    guard.recordPeerSurvivedRuns('edge-0', 'a1', rate(1, 40));
    const [own, ...others] = guard.reports().survived;
    assert.deepEqual(own, {fingerprint: 'a1', vm: 'edge-0', ...rate(1, 40)});
    assert.deepEqual(others, []);
    assert.equal(isQuarantined('a1'), true);
  });

  it('has its survived runs told to peers once a second while it is suspected', () => {
    survive('a1', 40);
    assert.deepEqual(survivalTold, []);
    reportLoss('a1', 'life-1');
    reportLoss('a1', 'life-2');
    assert.deepEqual(survivalTold, [
      {fingerprint: 'a1', vm: 'edge-0', ...rate(1, 40)},
    ]);
    nowMs += 1_000;
    survive('a1', 60);
    assert.equal(survivalTold.length, 2);
  });

  // Guards against hedges that end a second target.
  it('is doubtful after a loss until a target has outlived it', () => {
    assert.equal(guard.isDoubtful('a1'), false);
    crash('i-1@1');
    assert.equal(guard.isDoubtful('a1'), true);
    survive('a1', 40);
    assert.equal(guard.isDoubtful('a1'), false);
  });

  // Guards against one attempt that counts twice.
  it('has each run ended once', () => {
    const run = send('i-1@1');
    run.cancelled();
    run.broke();
    run.answered();
    die('i-1@1');
    assert.equal(notifications.length, 1);
    assert.equal(guard.isDoubtful('a1'), true);
  });

  // Guards against a target that was taken for dead and lives.
  it('is cleared of a loss if the target answers what it had before', () => {
    const earlier = send('i-1@1', 'b2');
    crash('i-1@1');
    crash('i-2@1');
    assert.equal(isQuarantined('a1'), true);
    earlier.answered();
    assert.equal(isQuarantined('a1'), false);
  });

  // Guards against requests that go on to be sent to targets that have died
  // unnoticed, and so meet each death.
  it('is no request that many send to targets which fall silent one by one', () => {
    guard.recordPeerSurvivedRuns('edge-1', 'a1', rate(30, 1_200));
    for (let index = 0; index < 6; index += 1) {
      send(`i-${index}@1`, 'other').answered();
      nowMs += 400;
      const run = send(`i-${index}@1`);
      nowMs += 400;
      run.cancelled();
      die(`i-${index}@1`);
    }
    assert.ok(notifications.some(text => text.startsWith('a1 ')));
    assert.equal(isQuarantined('a1'), false);
  });

  // Guards against blame for connections that a partition of the VM broke.
  it('is not suspected for connections that were forgotten', () => {
    breakConnection('i-1@1');
    guard.forgetRuns();
    die('i-1@1');
    assert.deepEqual(notifications, []);
  });

  it('is not suspected for a lost response if the target lives', () => {
    breakConnection('i-1@1');
    breakConnection('i-2@1');
    assert.equal(guard.hasSuspicions(), false);
    assert.equal(isQuarantined('a1'), false);
  });
});

describe('a request that is contained', () => {
  const VMS = ['edge-0', 'edge-1', 'edge-2', 'edge-3'];
  let nowMs: number;
  let guards: readonly CrashGuard[];

  beforeEach(() => {
    nowMs = 10_000;
    guards = VMS.map(self => {
      const guard = createCrashGuard({
        self,
        timers: {nowMs: () => nowMs},
        log: createKeyValueLogger({
          level: 'error',
          fields: {},
          write: () => {},
        }),
        liveVms: () => VMS,
        targetCount: () => TARGET_COUNT,
        probe: () => {},
        notifyPeersOfLoss: () => {},
        notifyPeersOfSurvival: () => {},
      });
      for (const target of ['life-1', 'life-2', 'life-3']) {
        // Two other targets have died beside them.
        const loss = {
          fingerprint: 'a1',
          target,
          ageMs: 0,
          spanMs: 0,
          deaths: 5,
        };
        guard.recordPeerLoss(loss);
      }
      return guard;
    });
  });

  function testers(): readonly string[] {
    return VMS.filter((_, index) => guards[index]?.mayTest('a1'));
  }

  // Guards against a request that costs as many more targets as there are VMs,
  // since it comes to all of them at once.
  it('is run by one VM of the fleet at a time, by each in its turn', () => {
    const seen = new Set<string>();
    for (let turn = 0; turn < VMS.length; turn += 1) {
      for (const guard of guards) {
        assert.equal(guard.verdictOf('a1', SERVICE), 'contained');
      }
      assert.equal(testers().length, 1);
      seen.add(testers()[0] ?? '');
      nowMs += 1_000;
    }
    assert.deepEqual([...seen].sort(), VMS);
  });

  it('is run by no VM that does not know yet how its last run has ended', () => {
    const tester = guards[VMS.indexOf(testers()[0] ?? '')];
    const run = tester?.follow({
      incarnation: 'i-4',
      expectedMs: EXPECTED_MS,
      givesUpAtMs: nowMs + DEADLINE_MS,
      fingerprint: () => 'a1',
      isCheap: true,
      isNewConnection: true,
    });
    assert.deepEqual(testers(), []);
    run?.answered();
    assert.equal(testers().length, 1);
  });
});

describe('the fingerprint of a request', () => {
  const MEGABYTE = 1_048_576;
  const guard = createCrashGuard({
    self: 'edge-0',
    timers: {nowMs: () => 0},
    log: createKeyValueLogger({level: 'error', fields: {}, write: () => {}}),
    liveVms: () => ['edge-0'],
    targetCount: () => TARGET_COUNT,
    probe: () => {},
    notifyPeersOfLoss: () => {},
    notifyPeersOfSurvival: () => {},
  });

  function fingerprintOf(body: Buffer | undefined): string {
    const headers = {host: 'Rooms.example'};
    const incoming = {method: 'POST', url: '/book/1?a=b', headers};
    return guard.fingerprint({incoming, body});
  }

  // Guards against VMs of two builds that do not recognise the same request.
  it('is that of the builds before', () => {
    const bodies = [0, 1, 20, 65_535, 65_536, 65_537, 200_000].map(length =>
      Buffer.from(Array.from({length}, (_, index) => (index * 7) % 256)),
    );
    for (const body of [undefined, ...bodies]) {
      const text = `POST rooms.example /book/1?a=b ${body?.toString('latin1') ?? ''}`;
      const expected =
        hash32(text).toString(16) + hash32(`2 ${text}`).toString(16);
      assert.equal(fingerprintOf(body), expected);
    }
  });

  // Guards against a VM that exceeds its memory as the answer to one large
  // upload is lost.
  it('takes little memory, however long the body is', () => {
    const body = Buffer.alloc(64 * MEGABYTE, 'x');
    const before = process.memoryUsage().rss;
    fingerprintOf(body);
    const grownBytes = process.memoryUsage().rss - before;
    assert.ok(grownBytes < 32 * MEGABYTE, `${grownBytes} bytes`);
  });
});
