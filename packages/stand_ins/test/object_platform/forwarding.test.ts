import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type IncomingMessage, request as httpRequest} from 'node:http';
import {connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {type TargetFault, settleWithin} from '../../src/index.js';
import {
  type Harness,
  HOST,
  call,
  createConfiguration,
  countRuns,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

/** More than a VM always holds of an answer before it passes it on. */
const HELD_BYTES = 600_000;
/** Of a VM that holds no answer of that length. */
const LITTLE_MEMORY_MEGABYTES = 30;
const DISCONNECT_TIMEOUT_MS = 20_000;
/** Of the harness's routes. */
const ROUTE_TIMEOUT_MS = 1_000;

describe('forwarding on the users’ platform', () => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await startHarness();
  });
  afterEach(() => harness.stop());

  function planFaultsOnAllTargets(...faults: readonly TargetFault[]): void {
    for (const target of harness.targets) {
      target.plan(...faults);
    }
  }

  // Guards against a late second answer without an identifier that is taken for
  // the answer to the next request on its connection.
  it('gives no caller an answer that names no request', async () => {
    const [target] = harness.targets;
    harness.fleet.store.remove('servers', 'i-1');
    await waitUntil(() =>
      harness.logLines.some(line => line.includes('event=target-removed')),
    );
    target?.plan('extra-answer-unnamed');
    await call(harness.gateway, {attemptId: 'first'});
    target?.setWorkMs(60);
    const second = await call(harness.gateway, {
      attemptId: 'second',
      method: 'POST',
      path: '/book/1',
      body: 'room=1',
    });
    // On a slow machine the stray answer finds the connection still idle, which
    // ends it; the request then gets its own answer on a new one.
    const seal = String(second.headers['x-ibisbeam-response-seal']);
    assert.ok(
      second.status === 502 || seal.endsWith('-second'),
      `status ${second.status}, seal ${seal}`,
    );
    assert.equal(countRuns(harness, 'second'), 1);
  });

  // Guards against a process that ends since a path cannot be written again.
  for (const character of ['\t', '\f', '\u007f']) {
    it(`refuses a path with ${JSON.stringify(character)}`, async () => {
      const {host, port} = harness.gateway.caller;
      const socket = connect(port, host);
      socket.write(
        `GET /rooms/${character}7 HTTP/1.1\r\nHost: ${HOST}\r\nX-Ibisbeam-Attempt-Id: odd\r\n\r\n`,
      );
      const [answer] = await settleWithin(
        {timers, timeoutMs: DISCONNECT_TIMEOUT_MS, awaited: 'the refusal'},
        once(socket, 'data'),
      );
      socket.destroy();
      assert.match(String(answer), /^HTTP\/1\.1 400 /);
      assert.equal((await call(harness.gateway)).status, 200);
    });
  }

  it('passes a request on and its answer back unchanged', async () => {
    const answer = await call(harness.gateway, {
      attemptId: 'one',
      path: '/rooms/7?night=2',
      headers: {'X-Own': 'kept', Connection: 'X-Private', 'X-Private': 'gone'},
    });
    assert.equal(answer.status, 200);
    assert.match(String(answer.headers['x-ibisbeam-response-seal']), /one$/);
    const run = harness.targets.flatMap(target => target.runs)[0];
    assert.equal(run?.path, '/rooms/7?night=2');
    assert.ok((run?.deadlineMs ?? Infinity) <= 1_000);
  });

  it('sends the body of a booking unchanged', async () => {
    const body = 'room=7&nights=2';
    const answer = await call(harness.gateway, {
      method: 'POST',
      path: '/book/7',
      body,
    });
    assert.equal(answer.status, 200);
    const run = harness.targets.flatMap(target => target.runs)[0];
    assert.equal(run?.body, body);
  });

  it('runs a booking once though its answer is lost, and promises nothing', async () => {
    planFaultsOnAllTargets('answer-lost', 'answer-lost');
    const answer = await call(harness.gateway, {
      method: 'POST',
      path: '/book/7',
      body: 'x',
      attemptId: 'once',
    });
    assert.equal(answer.status, 502);
    assert.equal(countRuns(harness, 'once'), 1);
  });

  it('trusts no connection that has been idle for long with a booking', async () => {
    const connectionCounts = () =>
      harness.targets.map(target => target.connectionCount());
    const book = () =>
      call(harness.gateway, {
        method: 'POST',
        path: '/book/7',
        body: 'x',
        key: '7',
      });
    const sum = (counts: readonly number[]) =>
      counts.reduce((total, count) => total + count, 0);
    await book();
    await book();
    assert.equal(sum(connectionCounts()), 1);
    await timers.sleep(1_700);
    await book();
    assert.equal(sum(connectionCounts()), 2);
  });

  it('tries a booking elsewhere after the target says that it has not run', async () => {
    planFaultsOnAllTargets('shed');
    const answer = await call(harness.gateway, {
      method: 'POST',
      path: '/book/7',
      body: 'x',
      attemptId: 'shed',
    });
    // Both targets shed one request, and a request tries each target once.
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(countRuns(harness, 'shed'), 0);
  });

  const brokenAnswerFaults: readonly TargetFault[] = [
    'answer-lost',
    'cut-short',
    'unframed-reset',
    'unframed-reset-at-once',
    'not-http',
    'malformed-header',
    'foreign',
    'error-500',
  ];
  for (const fault of brokenAnswerFaults) {
    it(`gets a look-up answered by another target after ${fault}`, async () => {
      const [first, second] = harness.targets;
      // The affinity key selects the first target, so some keys reach the
      // faulty one.
      first?.plan(fault);
      second?.plan('none');
      const answers = [];
      for (let index = 0; index < 12; index += 1) {
        answers.push(await call(harness.gateway, {key: String(index)}));
      }
      assert.deepEqual(
        answers.map(answer => answer.status),
        answers.map(() => 200),
      );
      assert.ok(answers.every(answer => answer.complete));
    });
  }

  for (const fault of ['extra-answer', 'extra-answer-late'] as const) {
    it(`gives no request the answer of another after ${fault}`, async () => {
      for (let index = 0; index < 20; index += 1) {
        planFaultsOnAllTargets(fault);
        const attemptId = `own-${fault}-${index}`;
        const answer = await call(harness.gateway, {attemptId});
        assert.equal(answer.status, 200);
        const seal = String(answer.headers['x-ibisbeam-response-seal']);
        assert.ok(seal.endsWith(attemptId), seal);
        await timers.sleep(index);
      }
    });
  }

  it('keeps no connection on which bytes came that nobody asked for', async () => {
    for (let index = 0; index < 5; index += 1) {
      planFaultsOnAllTargets('extra-answer-unnamed');
      const attemptId = `own-unnamed-${index}`;
      const answer = await call(harness.gateway, {attemptId, key: '7'});
      const seal = String(answer.headers['x-ibisbeam-response-seal']);
      assert.ok(seal.endsWith(attemptId), seal);
      // The target sends the extra bytes after 20 ms.
      await timers.sleep(60);
    }
    const [target] = harness.targets.filter(({runs}) => runs.length > 0);
    assert.equal(target?.connectionCount(), 5);
  });

  it('lets a long answer that breaks off on the way look broken', async () => {
    const longAnswerHarness = await startHarness({bodyBytes: 600_000}, 1, {
      memoryMegabytes: LITTLE_MEMORY_MEGABYTES,
    });
    try {
      for (const fault of ['cut-short', 'unframed-reset-later'] as const) {
        for (const target of longAnswerHarness.targets) {
          target.plan(fault);
        }
        const answer = await call(longAnswerHarness.gateway, {
          path: '/packs/7',
        });
        assert.equal(answer.complete, false, fault);
      }
      // The line of the request itself may be left out.
      const logged = longAnswerHarness.logLines.filter(line =>
        /event=answer-broken-off request=\S+ target=i-0/.test(line),
      );
      assert.equal(logged.length, 2);
    } finally {
      await longAnswerHarness.stop();
    }
  });

  // Guards against a long answer that is lost although another target could serve
  // it in time.
  it('has a long answer that breaks off from another target', async () => {
    for (const fault of ['cut-short', 'unframed-reset-later'] as const) {
      const attemptId = fault;
      const faults: TargetFault[] = [fault];
      for (const target of harness.targets) {
        target.setLargeAnswer('/packs/7', HELD_BYTES);
        target.planFor('/packs/7', faults);
      }
      const answer = await call(harness.gateway, {path: '/packs/7', attemptId});
      assert.equal(answer.status, 200);
      assert.ok(answer.complete);
      assert.equal(answer.body.length, HELD_BYTES);
      assert.equal(countRuns(harness, attemptId), 2);
    }
  });

  // Guards against a long answer whose target goes dark, and for which its client
  // waits until it gives up.
  it('ends a long answer at the route’s timeout when its target goes dark', async () => {
    const longAnswerHarness = await startHarness({}, 1);
    try {
      for (const target of longAnswerHarness.targets) {
        target.setCrashingRequest({
          path: '/packs/dark',
          connections: 'hang',
          outlivesConnection: false,
          bytesBefore: 300_000,
        });
      }
      const startMs = timers.nowMs();
      const answer = await call(longAnswerHarness.gateway, {
        path: '/packs/dark',
        deadlineMs: 5_000,
      });
      assert.equal(answer.complete, false);
      assert.ok(timers.nowMs() - startMs < ROUTE_TIMEOUT_MS + 500);
    } finally {
      await longAnswerHarness.stop();
    }
  });

  it('sends a long answer on beyond the timeout to a client that reads slowly', async () => {
    const longAnswerHarness = await startHarness({bodyBytes: 8_000_000}, 1);
    try {
      const {host, port} = longAnswerHarness.gateway.caller;
      const client = httpRequest({
        host,
        port,
        path: '/packs/7',
        agent: false,
        headers: {
          Host: HOST,
          'X-Ibisbeam-Attempt-Id': 'slow',
          'X-Ibisbeam-Deadline-Ms': '5000',
        },
      });
      client.end();
      const [response] = (await once(client, 'response')) as [IncomingMessage];
      response.pause();
      await timers.sleep(ROUTE_TIMEOUT_MS * 2);
      let bytes = 0;
      response.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
      });
      response.resume();
      await once(response, 'end');
      assert.equal(bytes, 8_000_000);
    } finally {
      await longAnswerHarness.stop();
    }
  });

  it('does not take a reset for the end of a booking’s answer', async () => {
    planFaultsOnAllTargets('unframed-reset-at-once');
    const answer = await call(harness.gateway, {
      method: 'POST',
      path: '/book/7',
      body: 'x',
    });
    assert.equal(answer.status, 502);
  });

  it('passes on an answer that ends with its connection', async () => {
    planFaultsOnAllTargets('unframed');
    const answer = await call(harness.gateway, {});
    assert.equal(answer.status, 200);
    assert.equal(answer.body.length, 20);
    assert.ok(answer.complete);
  });

  it('answers at the route’s timeout when the target is silent', async () => {
    harness.fleet.configure(
      createConfiguration(2, {
        routes: [
          {
            name: 'booking',
            host: HOST,
            path_prefix: '/book/',
            route_type: 'non_idempotent',
            timeout_ms: 150,
            target_latency_ms: 100,
            service: 'availability',
          },
        ],
      }),
    );
    await waitUntil(() =>
      harness.logLines.some(line => /in-force.*version=2/.test(line)),
    );
    planFaultsOnAllTargets('silent');
    const startMs = timers.nowMs();
    const answer = await call(harness.gateway, {
      method: 'POST',
      path: '/book/7',
      body: 'x',
    });
    assert.equal(answer.status, 504);
    assert.ok(timers.nowMs() - startMs < 150 + 500);
  });

  it('ends the target’s work when the client leaves', async () => {
    for (const target of harness.targets) {
      target.setWorkMs(800);
    }
    const answer = await call(harness.gateway, {abortAfterMs: 60});
    assert.equal(answer.status, 0);
    // Cancellation may take 500 ms; on loopback 250 ms is enough.
    await timers.sleep(250);
    const runs = harness.targets.flatMap(target => target.runs);
    assert.equal(runs.length, 1);
    assert.ok(runs.every(run => run.cancelled));
  });

  it('knows no route: 404; too long a body: 413; none of them forwarded', async () => {
    const unknown = await call(harness.gateway, {path: '/nowhere/'});
    assert.equal(unknown.status, 404);
    const large = await call(harness.gateway, {
      method: 'POST',
      path: '/book/7',
      body: 'x'.repeat(200_000),
    });
    assert.ok([413, 0].includes(large.status));
    assert.equal(countRuns(harness), 0);
  });

  const ambiguousRequests: Readonly<Record<string, string>> = {
    'two lengths': 'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
    'length and chunks':
      'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'a bare line end': 'X-Name: value\nX-Other: value\r\n\r\n',
    'a folded header': 'X-Name: value\r\n folded\r\n\r\n',
    'two hosts': `Host: ${HOST}\r\n\r\n`,
    'a space before the colon': 'X-Name : value\r\n\r\n',
  };
  for (const [name, rest] of Object.entries(ambiguousRequests)) {
    it(`refuses a request with ${name} and forwards nothing`, async () => {
      const text = await rawExchange(
        harness,
        `POST /book/7 HTTP/1.1\r\nHost: ${HOST}\r\n${rest}`,
      );
      assert.match(text, /^HTTP\/1\.1 400/);
      assert.equal(countRuns(harness), 0);
    });
  }

  it('keeps a connection usable after a refusal', async () => {
    const text = await rawExchange(
      harness,
      `GET /nowhere/ HTTP/1.1\r\nHost: ${HOST}\r\n\r\n` +
        `GET /rooms/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Ibisbeam-Attempt-Id: two\r\n` +
        'Connection: close\r\n\r\n',
    );
    assert.match(text, /^HTTP\/1\.1 404[\s\S]*HTTP\/1\.1 200/);
  });
});

/** Sends the text; resolves to what has come when the gateway disconnects. */
async function rawExchange(harness: Harness, text: string): Promise<string> {
  const {host, port} = harness.gateway.caller;
  const socket = connect(port, host, () => socket.write(text));
  let received = '';
  socket.on('data', data => {
    received += data.toString('utf8');
  });
  socket.on('error', () => {});
  const closed = new Promise<void>(resolve => {
    socket.on('close', () => resolve());
  });
  const awaited = `the gateway to disconnect after ${JSON.stringify(text)}`;
  try {
    await settleWithin(
      {timers, timeoutMs: DISCONNECT_TIMEOUT_MS, awaited},
      closed,
    );
  } finally {
    socket.destroy();
  }
  return received;
}
