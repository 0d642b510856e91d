import assert from 'node:assert/strict';
import {request as httpRequest} from 'node:http';
import {afterEach, describe, it} from 'node:test';
import {BOOKING_PATH, READ_PATH, createRunningBed} from './harness.js';

const MANY_LINES = 1_100;
const TAG_LINES = Array.from({length: MANY_LINES}, (_, index) => [
  'Tag',
  String(index),
]);

// Guards against bodies and headers that are lost since Node.js drops the lines
// of a head behind the first 1,000 without an error.
describe('a head of more than 1,000 lines', () => {
  let bed: Awaited<ReturnType<typeof createRunningBed>>;
  afterEach(() => bed.close());

  it('brings its body to the target', async () => {
    bed = await createRunningBed();
    const body = '{"room":7}';
    const {host} = new URL(bed.url);
    const text = await new Promise<string>((resolve, reject) => {
      const request = httpRequest(`${bed.url}${BOOKING_PATH}/book`, {
        method: 'POST',
        headers: [
          ...['Host', host],
          ...TAG_LINES.flat(),
          ...Object.entries(
            bed.headers({'idempotency-key': 'many-lines'}),
          ).flat(),
          ...['Content-Length', String(body.length)],
        ] as unknown as Record<string, string>,
        setHost: false,
      });
      request.on('response', response => {
        let received = '';
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          received += chunk;
        });
        response.on('end', () => resolve(received));
      });
      request.on('error', reject);
      request.end(body);
    });
    assert.equal((JSON.parse(text) as {received: string}).received, body);
  });

  it('brings all its lines back from a target', async () => {
    bed = await createRunningBed();
    const tags = TAG_LINES.map(([name, value]) => `${name}: ${value}\r\n`);
    for (const {faults} of bed.targets) {
      faults.rawAnswer = `HTTP/1.1 200 OK\r\n${tags.join('')}Ibisbeam-Request-Id: REQUEST\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\n{}`;
    }
    const answer = await fetch(`${bed.url}${READ_PATH}/rooms`, {
      headers: bed.headers({'ibisbeam-deadline-ms': '1500'}),
    });
    assert.equal(answer.status, 200);
    assert.equal(answer.headers.get('x-seal'), 's');
    assert.equal(await answer.text(), '{}');
  });
});
