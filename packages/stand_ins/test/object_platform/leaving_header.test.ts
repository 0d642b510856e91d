import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {FleetTarget, LocalGateway} from '../../src/index.js';
import {
  type Answer,
  type Harness,
  call,
  isReady,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

/**
 * More than enough for every target to be the first choice of some key. Each
 * round uses other keys, which no target has warm.
 */
const KEYS = 40;
/** Time for a VM to take in a change of the store. */
const PROPAGATION_MS = 400;
const LONG_WORK_MS = 400;

describe('a target whose answers say that it is leaving', () => {
  let harness: Harness;
  let leaver: FleetTarget;
  let keys: number;

  beforeEach(async () => {
    harness = await startHarness({}, 3);
    const [first] = harness.targets;
    assert.ok(first);
    leaver = first;
    keys = 0;
  });
  afterEach(() => harness.stop());

  function sendKey(gateway: LocalGateway): Promise<Answer> {
    keys += 1;
    return call(gateway, {key: `${keys}`});
  }

  /** Sends one request for each of many keys, two at a time. */
  async function sendKeys(
    gateway: LocalGateway = harness.gateway,
  ): Promise<readonly Answer[]> {
    const answers: Answer[] = [];
    for (let pair = 0; pair < KEYS / 2; pair += 1) {
      const sent = [sendKey(gateway), sendKey(gateway)];
      answers.push(...(await Promise.all(sent)));
    }
    return answers;
  }

  /** Sends requests until the VM has had an answer that says so. */
  async function leave(gateway?: LocalGateway): Promise<void> {
    leaver.setLeaving(true);
    await sendKeys(gateway);
    assert.ok(leaver.leavingStatements.length > 0);
  }

  function arrivals(): number {
    return leaver.arrivals.length;
  }

  function countLines(pattern: RegExp): number {
    return harness.logLines.filter(line => pattern.test(line)).length;
  }

  // Guards against VMs that wait for the store to say that a target leaves.
  it('gets no request after the first such answer', async () => {
    await leave();
    const before = arrivals();
    const answers = await sendKeys();
    assert.equal(arrivals() - before, 0);
    assert.ok(answers.every(({status}) => status === 200));
    assert.equal(countLines(/target-leaving target=i-0.* from=target/), 1);
  });

  // Guards against a mark that a late entry of the same incarnation ends.
  it('stays out while the store lists it as ready, until it starts anew', async () => {
    await leave();
    const {store} = harness.fleet;
    store.put('servers', leaver.id, leaver.entry({sequence: 2}));
    await timers.sleep(PROPAGATION_MS);
    const before = arrivals();
    await sendKeys();
    assert.equal(arrivals() - before, 0, 'after a late entry');
    leaver.setLeaving(false);
    store.put('servers', leaver.id, leaver.entry({born: 2_000}));
    await timers.sleep(PROPAGATION_MS);
    await sendKeys();
    assert.ok(arrivals() > before, 'after a new start');
  });

  // Guards against two notions of leaving, of which one can be taken back.
  it('stays out as well if only the store had said so', async () => {
    const {store} = harness.fleet;
    store.put('servers', leaver.id, leaver.entry({state: 'draining'}));
    await timers.sleep(PROPAGATION_MS);
    store.put('servers', leaver.id, leaver.entry({sequence: 2}));
    await timers.sleep(PROPAGATION_MS);
    await sendKeys();
    assert.equal(arrivals(), 0);
  });

  // Guards against a mark that is lost with the entry of the target.
  it('stays out when a restored store lists it again', async () => {
    const {store} = harness.fleet;
    const copy = store.copy();
    await leave();
    store.remove('servers', leaver.id);
    await timers.sleep(PROPAGATION_MS);
    store.restore(copy);
    store.put('servers', leaver.id, leaver.entry({sequence: 3}));
    await timers.sleep(PROPAGATION_MS);
    const before = arrivals();
    await sendKeys();
    assert.equal(arrivals() - before, 0);
  });

  // Guards against work that is cut off, and idle connections that are kept.
  it('ends what it works on, and keeps no idle connection', async () => {
    leaver.setWorkMs(LONG_WORK_MS);
    const pending = sendKeys();
    await waitUntil(() => leaver.runs.length > 0);
    leaver.setLeaving(true);
    const answers = await pending;
    assert.ok(
      answers.every(({status, complete}) => status === 200 && complete),
    );
    assert.ok(leaver.runs.every(({cancelled}) => !cancelled));
    await waitUntil(() => leaver.openConnections() === 0);
  });

  // Guards against taking the answer of another instance for the target's own.
  it('is not the one that another instance answers for', async () => {
    const {store} = harness.fleet;
    const [, expected] = harness.targets;
    assert.ok(expected);
    leaver.setLeaving(true);
    store.put('servers', leaver.id, leaver.entry({state: 'draining'}));
    store.put(
      'servers',
      'i-9',
      leaver.entry({zone: 'riga-a', service: 'availability'}),
    );
    await timers.sleep(PROPAGATION_MS);
    await sendKeys();
    assert.equal(countLines(/target-leaving target=i-9/), 0);
  });

  // Guards against requests that wait for, or are sent to, a pool that leaves.
  it('is refused for at once if all of its pool leave', async () => {
    for (const target of harness.targets) {
      target.setLeaving(true);
    }
    await sendKeys();
    const startMs = timers.nowMs();
    const answers = await sendKeys();
    const tookMs = timers.nowMs() - startMs;
    for (const {status, headers} of answers) {
      assert.equal(status, 503);
      assert.equal(headers['retry-after'], '1.00');
    }
    assert.ok(tookMs < 1_000, `${KEYS} refusals took ${tookMs} ms`);
  });

  // Guards against callers that take the VM for the one that leaves.
  it('does not tell callers', async () => {
    leaver.setLeaving(true);
    const answers = await sendKeys();
    assert.ok(leaver.leavingStatements.length > 0);
    assert.ok(
      answers.every(one => one.headers['server-leaving'] === undefined),
    );
  });

  describe('and another VM', () => {
    let other: LocalGateway;

    beforeEach(async () => {
      other = await harness.fleet.addGateway('edge-riga-a-2', 'riga-a');
      await waitUntil(() => isReady(other));
      await waitUntil(() => countLines(/peer-connected/) > 0);
    });

    // Guards against VMs that each learn of it by a request of their own.
    it('is told, and looks elsewhere first', async () => {
      await leave();
      await timers.sleep(PROPAGATION_MS);
      const before = arrivals();
      const answers = await sendKeys(other);
      assert.equal(arrivals() - before, 0);
      assert.ok(answers.every(({status}) => status === 200));
    });

    // Guards against reports of one VM that empty a pool for all others.
    it('still uses a pool of which all are reported', async () => {
      for (const target of harness.targets) {
        target.setLeaving(true);
      }
      await sendKeys();
      for (const target of harness.targets) {
        target.setLeaving(false);
      }
      await timers.sleep(PROPAGATION_MS);
      const answers = await sendKeys(other);
      assert.ok(answers.every(({status}) => status === 200));
    });
  });
});
