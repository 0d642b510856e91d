import assert from 'node:assert/strict';
import {request as httpRequest} from 'node:http';
import {connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {LocalGateway} from '../../src/index.js';
import {
  type Harness,
  HOST,
  call,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';
import {answerText, startScriptedTarget} from './scripted_target.js';

const MANY_LINES = 1_100;
/** The stand-in configuration allows 16,384. */
const HEAD_LIMIT_BYTES = 16_384;
const TAG_LINES = Array.from({length: MANY_LINES}, (_, index) => [
  'Tag',
  String(index),
]);
const TAGS = TAG_LINES.map(([name, value]) => `${name}: ${value}\r\n`).join('');

// Guards against bodies, deadlines, identifiers and seals that are lost since
// Node.js drops the lines of a head behind the first 1,000 without an error.
describe('a head of more than 1,000 lines', () => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await startHarness();
    await waitUntil(async () => (await call(harness.gateway)).status === 200);
  });
  afterEach(() => harness.stop());

  /** Sends a booking whose length stands behind all other lines. */
  function book(gateway: LocalGateway, attemptId: string): Promise<number> {
    const body = JSON.stringify({room: attemptId});
    return new Promise((resolve, reject) => {
      const request = httpRequest({
        ...gateway.caller,
        method: 'POST',
        path: '/book/1',
        headers: [
          ...['Host', HOST],
          ...TAG_LINES.flat(),
          ...['X-Ibisbeam-Attempt-Id', attemptId],
          ...['X-Ibisbeam-Deadline-Ms', '1500'],
          ...['Content-Length', String(body.length)],
        ] as unknown as Record<string, string>,
        setHost: false,
      });
      request.on('response', response => {
        response.resume();
        response.on('end', () => resolve(response.statusCode ?? 0));
      });
      request.on('error', reject);
      request.end(body);
    });
  }

  it('brings its body, its identifier and all its lines to the target', async () => {
    assert.equal(await book(harness.gateway, 'many-lines'), 200);
    const [run] = harness.targets
      .flatMap(target => target.runs)
      .filter(({attemptId}) => attemptId === 'many-lines');
    assert.equal(run?.body, '{"room":"many-lines"}');
  });

  it('is refused as a whole if it is too long', async () => {
    const line = `Tag: ${'x'.repeat(100)}\r\n`;
    const head = `GET /rooms/1 HTTP/1.1\r\nHost: ${HOST}\r\n${line.repeat((2 * HEAD_LIMIT_BYTES) / 100)}\r\n`;
    const socket = connect(harness.gateway.caller);
    socket.on('error', () => {});
    let text = '';
    socket.on('data', (data: Buffer) => {
      text += data.toString('latin1');
    });
    socket.write(head);
    await waitUntil(() => text.includes('\r\n\r\n'));
    assert.match(text, /^HTTP\/1.1 431 /);
    socket.destroy();
    await timers.sleep(20);
    assert.equal((await call(harness.gateway)).status, 200);
  });
});

describe('an answer whose head has more than 1,000 lines', () => {
  it('brings its seal back from a target, directly and by a relay', async () => {
    const harness = await startHarness({}, 0);
    const scripted = await startScriptedTarget(
      harness.fleet,
      'i-scripted',
      ({attemptId, socket}) => {
        const [statusLine = '', ...rest] = answerText(attemptId).split('\r\n');
        socket.write(`${statusLine}\r\n${TAGS}${rest.join('\r\n')}`);
      },
    );
    const relaying = await harness.fleet.addGateway('edge-riga-b-1', 'riga-b', {
      targetReach: () => 'cut-off',
    });
    try {
      for (const gateway of [harness.gateway, relaying]) {
        await waitUntil(async () => {
          const {status, headers} = await call(gateway);
          return (
            status === 200 &&
            headers['x-ibisbeam-response-seal'] !== undefined &&
            String(headers['tag']).endsWith(`, ${MANY_LINES - 1}`)
          );
        });
      }
    } finally {
      await scripted.close();
      await harness.stop();
    }
  });
});
