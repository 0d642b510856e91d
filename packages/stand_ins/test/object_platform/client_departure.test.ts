import assert from 'node:assert/strict';
import {type Socket, connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  type Harness,
  HOST,
  call,
  countRuns,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

const KEY = 'room-7';

describe('work for clients that leave', () => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await startHarness();
    // Opens a pooled connection to the target of the key.
    await call(harness.gateway, {key: KEY, attemptId: 'first'});
  });
  afterEach(() => harness.stop());

  function requestText(requestLine: string, attemptId: string, body = '') {
    return [
      `${requestLine} HTTP/1.1`,
      `Host: ${HOST}`,
      `X-Ibisbeam-Attempt-Id: ${attemptId}`,
      `X-Ibisbeam-Affinity-Key: ${KEY}`,
      'X-Ibisbeam-Deadline-Ms: 1200',
      `Content-Length: ${body.length}`,
      '',
      body,
    ].join('\r\n');
  }

  async function openClientConnection(): Promise<Socket> {
    const {host, port} = harness.gateway.caller;
    const socket = connect(port, host);
    await new Promise(resolve => {
      socket.once('connect', resolve);
    });
    // The gateway has accepted the connection and reads from it by then.
    await timers.sleep(20);
    return socket;
  }

  async function waitUntilFinished(attemptId: string): Promise<void> {
    await waitUntil(() =>
      harness.logLines.some(
        line =>
          line.includes('event=request-finished') &&
          line.includes(`request=${attemptId} `),
      ),
    );
  }

  const requests = [
    {name: 'look-up', line: 'GET /rooms/7', body: ''},
    {name: 'booking', line: 'POST /book/7', body: 'nights=2'},
  ];
  for (const {name, line, body} of requests) {
    // Guards against requests that are sent to a target before the client's
    // disconnect, which arrived with them, has been read.
    it(`sends no ${name} whose client left before the request was read`, async () => {
      const socket = await openClientConnection();
      socket.write(requestText(line, 'left', body));
      socket.destroy();
      await waitUntilFinished('left');
      await timers.sleep(100);
      assert.equal(countRuns(harness, 'left'), 0);
    });
  }

  // Guards against timers that start work after a pause of the process, before
  // the disconnects of that time have been read.
  it('starts no hedge for a client that left while the process was busy', async () => {
    for (const target of harness.targets) {
      target.setWorkMs(900);
    }
    const socket = await openClientConnection();
    socket.write(requestText('GET /rooms/7', 'left'));
    await waitUntil(() => countRuns(harness, 'left') === 1);
    await timers.sleep(200);
    socket.destroy();
    // Hedges start after twice the objective of 200 ms.
    blockEventLoop(500);
    await waitUntilFinished('left');
    await timers.sleep(100);
    assert.equal(countRuns(harness, 'left'), 1);
  });
});

function blockEventLoop(spanMs: number): void {
  const endsAtMs = timers.nowMs() + spanMs;
  while (timers.nowMs() < endsAtMs) {
    // Busy-wait.
  }
}
