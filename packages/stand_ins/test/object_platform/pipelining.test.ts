import assert from 'node:assert/strict';
import {type Socket, connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {type TargetFault, settleWithin} from '../../src/index.js';
import {
  type Harness,
  HOST,
  countRuns,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

const CLOSE_TIMEOUT_MS = 8_000;
const SLOW_MS = 400;
const MAXIMUM_UNANSWERED = 64;
/** Little less than what the VM passes on before it has the whole. */
const WHOLE_BYTES = 250_000;
/** Little more than the VM holds of one answer before it passes it on. */
const STREAMED_BYTES = 8_000_000;
/** More than the VM holds of an answer that nothing waits for. */
const LONG_BYTES = 540_000;

describe('requests sent behind another on its connection', () => {
  let harness: Harness;
  let client: Socket;
  let received: string;
  let closed: Promise<void>;
  let isClosed: boolean;

  beforeEach(async () => {
    harness = await startHarness();
    const {host, port} = harness.gateway.caller;
    received = '';
    client = connect(port, host);
    client.on('data', data => {
      received += data.toString('latin1');
    });
    client.on('error', () => {});
    isClosed = false;
    closed = new Promise(resolve => {
      client.on('close', () => {
        isClosed = true;
        resolve();
      });
    });
  });
  afterEach(async () => {
    client.destroy();
    await harness.stop();
  });

  function requestText(attemptId: string): string {
    return [
      `GET /rooms/${attemptId} HTTP/1.1`,
      `Host: ${HOST}`,
      `X-Ibisbeam-Attempt-Id: ${attemptId}`,
      'X-Ibisbeam-Deadline-Ms: 3000',
      '\r\n',
    ].join('\r\n');
  }

  /** Attempt identifiers of the answers, in the order in which they came. */
  function answered(): readonly string[] {
    const found = received.matchAll(/x-ibisbeam-attempt-id: (\S+)/gi);
    return [...found].map(([, attemptId]) => attemptId ?? '');
  }

  function waitForClose(): Promise<void> {
    return settleWithin(
      {timers, timeoutMs: CLOSE_TIMEOUT_MS, awaited: 'the connection to close'},
      closed,
    );
  }

  /** A busy machine may hedge some of them meanwhile, so that they run twice. */
  function haveAllRun(ids: readonly string[]): boolean {
    return ids.every(id => countRuns(harness, id) > 0);
  }

  it('are answered in the order in which they were sent', async () => {
    const [first] = harness.targets;
    first?.setWorkMs(SLOW_MS);
    const ids = ['one', 'two', 'three', 'four', 'five'];
    client.write(ids.map(requestText).join(''));
    await waitUntil(() => answered().length === ids.length);
    assert.deepEqual(answered(), ids);
  });

  // Guards against an answer that closes the connection in a planned stop while
  // targets are at work on requests behind it.
  it('get their answers in a planned stop if targets have them', async () => {
    for (const target of harness.targets) {
      target.setWorkMs(SLOW_MS);
    }
    const ids = ['one', 'two', 'three'];
    client.write(ids.map(requestText).join(''));
    await waitUntil(() => haveAllRun(ids));
    void harness.gateway.gateway.stop();
    await waitForClose();
    assert.deepEqual(answered(), ids);
    assert.match(received, /connection: close/i);
  });

  it('reach no target behind an answer that closes the connection', async () => {
    for (const target of harness.targets) {
      target.setLargeAnswer('/rooms/long', WHOLE_BYTES);
    }
    void harness.gateway.gateway.stop();
    client.write(requestText('long'));
    await expectNothingBehind();
  });

  it('reach no target behind a streamed answer if the client asked to close', async () => {
    for (const target of harness.targets) {
      target.setLargeAnswer('/rooms/long', 2_000_000);
    }
    void harness.gateway.gateway.stop();
    client.write(
      requestText('long').replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'),
    );
    await expectNothingBehind();
  });

  async function expectNothingBehind(): Promise<void> {
    await waitUntil(() => /connection: close/i.test(received));
    client.write(requestText('behind'));
    await waitForClose();
    assert.equal(countRuns(harness, 'long'), 1);
    assert.equal(countRuns(harness, 'behind'), 0);
  }

  // Guards against an answer that its target breaks off while an earlier one is
  // awaited, and of which the client hears nothing until it gives up.
  it('are ended if their target breaks off behind a slower one', async () => {
    for (const target of harness.targets) {
      target.setLargeAnswer('/rooms/broken-off', STREAMED_BYTES);
      target.setWorkMs(SLOW_MS);
    }
    client.write(requestText('slow'));
    await waitUntil(() => haveAllRun(['slow']));
    for (const target of harness.targets) {
      target.setWorkMs(0);
      target.plan('cut-short');
    }
    client.write(requestText('broken-off'));
    await waitUntil(() => isClosed || /HTTP\/1\.1 502/.test(received));
    assert.equal(answered()[0], 'slow');
    assert.equal(countRuns(harness, 'broken-off'), 1);
  });

  // Guards against a long answer that its target breaks off, and that is lost with
  // all other answers of its connection although another target could serve it.
  it('are answered if a long answer breaks off behind a slower one', async () => {
    const faults = breakOffLongAnswer();
    for (const target of harness.targets) {
      target.setWorkMs(SLOW_MS);
    }
    client.write(requestText('slow'));
    await waitUntil(() => haveAllRun(['slow']));
    for (const target of harness.targets) {
      target.setWorkMs(0);
    }
    client.write(['long', 'last'].map(requestText).join(''));
    await waitUntil(() => answered().includes('last') || isClosed);
    expectWholeAnswers(['slow', 'long', 'last'], faults);
  });

  // Guards against the same loss if the long answer is the first one.
  it('are answered if a long answer breaks off before them', async () => {
    const faults = breakOffLongAnswer();
    for (const target of harness.targets) {
      target.setWorkMs(SLOW_MS);
    }
    const ids = ['long', 'behind', 'last'];
    client.write(ids.map(requestText).join(''));
    await waitUntil(() => answered().includes('last') || isClosed);
    expectWholeAnswers(ids, faults);
  });

  /** One target breaks off the answer, whichever gets the request first. */
  function breakOffLongAnswer(): readonly TargetFault[] {
    const faults: TargetFault[] = ['cut-short'];
    for (const target of harness.targets) {
      target.setLargeAnswer('/rooms/long', LONG_BYTES);
      target.planFor('/rooms/long', faults);
    }
    return faults;
  }

  function expectWholeAnswers(
    ids: readonly string[],
    faults: readonly TargetFault[],
  ): void {
    assert.deepEqual(answered(), ids);
    assert.equal(received.match(/HTTP\/1\.1 200/g)?.length, ids.length);
    assert.ok(received.includes('x'.repeat(LONG_BYTES)));
    assert.equal(faults.length, 0);
    assert.ok(!isClosed);
  }

  // Guards against a connection whose answers, held until their turn, fill the
  // memory of the VM.
  it('are refused if too many of the connection have no answer', async () => {
    for (const target of harness.targets) {
      target.setWorkMs(SLOW_MS);
    }
    const ids = [];
    for (let index = 0; index < MAXIMUM_UNANSWERED + 6; index += 1) {
      ids.push(`many-${index}`);
    }
    client.write(ids.map(requestText).join(''));
    await waitForClose();
    const refusals = received.match(/too many requests on the connection/g);
    assert.equal(refusals?.length, 6);
    const answers = received.match(/HTTP\/1\.1 \d/g);
    assert.equal(answers?.length, ids.length);
    for (const id of ids.slice(MAXIMUM_UNANSWERED)) {
      assert.equal(countRuns(harness, id), 0);
    }
  });

  it('leave no target at work when the connection breaks off', async () => {
    for (const target of harness.targets) {
      target.setWorkMs(3_000);
    }
    const ids = ['one', 'two', 'three', 'four', 'five'];
    client.write(ids.map(requestText).join(''));
    await waitUntil(() => haveAllRun(ids));
    client.destroy();
    await waitUntil(() => {
      const runs = harness.targets.flatMap(target => target.runs);
      return runs.every(run => run.cancelled);
    });
  });
});
