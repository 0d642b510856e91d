import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {type FleetTarget, findPauseViolations} from '../../src/index.js';
import {
  type Answer,
  type Harness,
  call,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

/**
 * More than enough for every target to be the first choice of some key. Each
 * round uses other keys, which no target has warm.
 */
const KEYS = 40;
const PAUSE_MS = 1_200;
/** A pause ends within this time of when the target meant it to. */
const ON_TIME_MS = 400;

describe('a target that asks for a pause', () => {
  let harness: Harness;
  let target: FleetTarget;
  let keys: number;

  beforeEach(async () => {
    harness = await startHarness({slots: 8}, 2);
    const [first] = harness.targets;
    assert.ok(first);
    target = first;
    keys = 0;
  });
  afterEach(() => harness.stop());

  function sendKey(): Promise<Answer> {
    keys += 1;
    return call(harness.gateway, {key: `${keys}`});
  }

  async function sendKeys(): Promise<readonly Answer[]> {
    const answers: Answer[] = [];
    for (let pair = 0; pair < KEYS / 2; pair += 1) {
      answers.push(...(await Promise.all([sendKey(), sendKey()])));
    }
    return answers;
  }

  /** Sends requests until the target has refused one; returns when. */
  async function sendUntilRefused(): Promise<number> {
    const before = target.arrivals.length;
    while (target.arrivals.length === before) {
      const {status} = await sendKey();
      assert.equal(status, 200);
    }
    return target.arrivals.at(-1)?.atMs ?? 0;
  }

  /** Sends requests until the target gets one again; returns when. */
  async function sendUntilBack(): Promise<number> {
    const before = target.arrivals.length;
    await waitUntil(async () => {
      await sendKeys();
      return target.arrivals.length > before;
    });
    return target.arrivals[before]?.atMs ?? 0;
  }

  async function pauseEndsAfter(retryAfter: string): Promise<number> {
    target.refuseNext(retryAfter);
    const refusedMs = await sendUntilRefused();
    return (await sendUntilBack()) - refusedMs;
  }

  // Guards against VMs that go on sending to a target that wants nothing.
  it('gets nothing for that time, and requests again right after it', async () => {
    const afterMs = await pauseEndsAfter('1.2');
    assert.ok(afterMs >= PAUSE_MS, `back after ${afterMs} ms`);
    assert.ok(afterMs < PAUSE_MS + ON_TIME_MS, `back after ${afterMs} ms`);
    const line = /target-pausing target=i-0.* from=target pauseMs=1200/;
    assert.ok(harness.logLines.some(text => line.test(text)));
  });

  // Guards against a reader that knows only one form of Retry-After.
  it('may state whole seconds or a date', async () => {
    const wholeMs = await pauseEndsAfter('1');
    assert.ok(wholeMs >= 1_000, `back after ${wholeMs} ms`);
    const date = new Date(timers.wallMs() + 3_000).toUTCString();
    const dateMs = await pauseEndsAfter(date);
    assert.ok(dateMs >= 1_800, `back after ${dateMs} ms`);
  });

  // Guards against values that take a target out without a reason.
  it('gets requests if the value is nonsense', async () => {
    await harness.targets[1]?.close();
    for (const text of ['-5', 'soon', '0', '1e9', 'NaN']) {
      target.refuseNext(text);
      await sendKeys();
      const before = target.arrivals.length;
      await sendKeys();
      assert.ok(target.arrivals.length > before, text);
    }
    assert.ok(!harness.logLines.some(text => text.includes('target-pausing')));
  });

  // Guards against queues and made-up times while a whole pool pauses.
  it('is refused for at once if all of its pool pause', async () => {
    const [, other] = harness.targets;
    target.pauseFor(PAUSE_MS);
    other?.pauseFor(2 * PAUSE_MS);
    await sendKeys();
    const arrived = target.arrivals.length;
    const endsAtMs = (target.pauseStatements[0]?.atMs ?? 0) + PAUSE_MS;
    const startMs = timers.nowMs();
    const {status, headers} = await sendKey();
    const tookMs = timers.nowMs() - startMs;
    assert.equal(status, 503);
    assert.ok(tookMs < 50, `refused after ${tookMs} ms`);
    assert.equal(target.arrivals.length, arrived);
    const meantMs = startMs + Number(headers['retry-after']) * 1_000;
    assert.ok(
      Math.abs(meantMs - endsAtMs) < 100,
      `${meantMs - endsAtMs} ms off`,
    );
  });

  // Guards against a whole queue that meets a target at the end of its pause.
  it('gets a few requests first, and then all it can serve', async () => {
    target.setWorkMs(40);
    await harness.targets[1]?.close();
    target.pauseFor(PAUSE_MS);
    await sendKeys();
    const arrived = target.arrivals.length;
    const endsAtMs = Math.max(
      ...target.pauseStatements.map(({atMs, pauseMs}) => atMs + pauseMs),
    );
    const calls: Promise<Answer>[] = [];
    while (timers.nowMs() < endsAtMs + 1_000) {
      calls.push(sendKey());
      await timers.sleep(4);
    }
    const answers = await Promise.all(calls);
    const back = target.arrivals
      .slice(arrived)
      .map(({atMs}) => atMs - endsAtMs);
    const first = back.filter(afterMs => afterMs < 40).length;
    assert.ok(first >= 1 && first <= 3, `${first} requests in 40 ms`);
    const served = answers.filter(({status}) => status === 200).length;
    assert.ok(served > 60, `${served} served within 1 s of the pause`);
  });

  // Guards against requests on their way that break the users' rule.
  it('is never sent more than the rule allows', async () => {
    const vmOf = (): string => harness.gateway.id;
    await harness.targets[1]?.close();
    target.pauseFor(2 * PAUSE_MS);
    const endsAtMs = timers.nowMs() + 2 * PAUSE_MS;
    while (timers.nowMs() < endsAtMs) {
      await sendKeys();
    }
    const {arrivals, pauseStatements: statements} = target;
    assert.ok(statements.length > 0);
    const violations = findPauseViolations({
      arrivals,
      statements,
      vmOf,
      isExcused: () => false,
    });
    assert.deepEqual(violations, []);
  });
});
