import assert from 'node:assert/strict';
import {type Socket, connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  type Harness,
  HOST,
  call,
  countLogLines,
  countRuns,
  startHarness,
  waitUntil,
} from './harness.js';

/** A fifth of it is for bodies: two of those below, and no third. */
const MEMORY_MEGABYTES = 1;
const BODY = 'b'.repeat(90_000);

describe('callers that send large bodies slowly', () => {
  let harness: Harness;
  let clients: Socket[];

  beforeEach(async () => {
    harness = await startHarness({}, 2, {memoryMegabytes: MEMORY_MEGABYTES});
    clients = [];
  });
  afterEach(async () => {
    for (const client of clients) {
      client.destroy();
    }
    await harness.stop();
  });

  /** Sends all of a body but its last byte; returns what is received. */
  function sendSlowly(): () => string {
    const {host, port} = harness.gateway.caller;
    const client = connect(port, host);
    clients.push(client);
    let received = '';
    client.on('data', data => {
      received += data.toString('latin1');
    });
    client.on('error', () => {});
    client.write(
      `POST /book/7 HTTP/1.1\r\nHost: ${HOST}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY.slice(1)}`,
    );
    return () => received;
  }

  // Guards against bodies that are each within their limit and together fill
  // the memory of the VM.
  it('get 503, not run, once there is no memory for bodies', async () => {
    const answers = [sendSlowly(), sendSlowly(), sendSlowly()];
    await waitUntil(() =>
      answers.some(received => /^HTTP\/1\.1 503/.test(received())),
    );
    assert.ok(countLogLines(harness, /event=body-refused/) >= 1);
    assert.equal(countRuns(harness), 0);
    const small = await call(harness.gateway, {path: '/rooms/1'});
    assert.equal(small.status, 200);
    for (const client of clients) {
      client.destroy();
    }
    await waitUntil(async () => {
      const booking = await call(harness.gateway, {
        method: 'POST',
        path: '/book/7',
        body: BODY,
      });
      return booking.status === 200;
    });
  });
});
