/** Invalid input is refused with a typed reason, and the VM keeps serving. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {vmId} from '@ibisbeam/decision';
import {
  BOOKING_PATH,
  READ_PATH,
  createRunningBed,
  createTestBed,
} from './harness.js';
import {type Answer, sendRequest} from './send_request.js';

describe('bad input', () => {
  let bed: Awaited<ReturnType<typeof createRunningBed>>;
  before(async () => {
    bed = await createRunningBed();
  });
  after(() => bed.close());

  function read(path: string, headers: Record<string, string>) {
    return sendRequest(`${bed.url}${path}`, {headers});
  }

  function book(body: string | Buffer, headers: Record<string, string>) {
    return sendRequest(`${bed.url}${BOOKING_PATH}/book`, {
      method: 'POST',
      headers: bed.headers(headers),
      body,
    });
  }

  function assertRefused(answer: Answer, status: number, reason: string) {
    assert.deepEqual(
      [answer.status, answer.reason, answer.outcome],
      [status, reason, 'not-run'],
    );
  }

  it('without a token is refused', async () => {
    assertRefused(await read(`${READ_PATH}/x`, {}), 401, 'unauthenticated');
  });

  it('with a token for another port is refused', async () => {
    const token = await bed.keys.token(
      {kind: 'operator', name: 'anna'},
      'ibisbeam-operator',
    );
    const headers = {authorization: `Bearer ${token}`};
    assertRefused(
      await read(`${READ_PATH}/x`, headers),
      401,
      'unauthenticated',
    );
  });

  it('with a forged relay token is refused', async () => {
    const headers = bed.headers({'ibisbeam-relay-token': bed.token});
    assertRefused(
      await read(`${READ_PATH}/x`, headers),
      401,
      'unauthenticated',
    );
  });

  it('of a team without approval is refused', async () => {
    const token = await bed.keys.token(
      {kind: 'calling-team', team: 'strangers' as never},
      'ibisbeam-caller',
    );
    const headers = {authorization: `Bearer ${token}`};
    assertRefused(await read(`${READ_PATH}/x`, headers), 403, 'not-approved');
  });

  it('that names an unknown workspace is refused', async () => {
    const path = '/v1/workspaces/nobody/services/room-availability/x';
    assertRefused(await read(path, bed.headers()), 404, 'unknown-workspace');
  });

  it('that names an unknown service is refused', async () => {
    const path = READ_PATH.replace('room-availability', 'no-such');
    assertRefused(await read(path, bed.headers()), 404, 'unknown-service');
  });

  it('that leaves the path of its service is refused', async () => {
    // Sent over a raw socket because fetch normalizes dot segments.
    const answer = await sendRaw(
      bed.vm.address,
      [
        `GET ${READ_PATH}/%2e%2e/x HTTP/1.1`,
        'host: x',
        `authorization: Bearer ${bed.token}`,
        'connection: close',
        '\r\n',
      ].join('\r\n'),
    );
    assert.match(answer, /^HTTP\/1\.1 400 /);
    assert.match(answer, /malformed-request/);
  });

  it('with a malformed request identifier is refused', async () => {
    const headers = bed.headers({'ibisbeam-request-id': 'a b'});
    assertRefused(
      await read(`${READ_PATH}/x`, headers),
      400,
      'malformed-request',
    );
  });

  it('with a malformed deadline is refused', async () => {
    const headers = bed.headers({'ibisbeam-deadline-ms': 'soon'});
    assertRefused(
      await read(`${READ_PATH}/x`, headers),
      400,
      'malformed-request',
    );
  });

  it('with an expired deadline is refused', async () => {
    const headers = bed.headers({'ibisbeam-deadline-ms': '0'});
    assertRefused(
      await read(`${READ_PATH}/x`, headers),
      503,
      'deadline-expired',
    );
  });

  it('without an idempotency key for a booking is refused', async () => {
    assertRefused(await book('x', {}), 400, 'idempotency-key-missing');
  });

  it('with an oversized body is refused', async () => {
    const body = Buffer.alloc(100_000);
    const answer = await book(body, {'idempotency-key': 'k'});
    assertRefused(answer, 413, 'request-too-large');
  });

  it('with oversized headers is refused', async () => {
    const answer = await sendRaw(
      bed.vm.address,
      `GET ${READ_PATH}/x HTTP/1.1\r\nhost: x\r\npadding: ${'x'.repeat(20_000)}\r\n\r\n`,
    );
    assert.match(answer, /^HTTP\/1\.1 431 /);
    assert.match(answer, /"outcome":"not-run"/);
  });

  it('that is no HTTP is refused', async () => {
    const answer = await sendRaw(bed.vm.address, 'hello\r\n\r\n');
    assert.match(answer, /^HTTP\/1\.1 400 /);
    assert.match(answer, /"outcome":"not-run"/);
  });

  it('from a peer that does not decode is counted and dropped', async () => {
    bed.vm.kernel.publish({
      kind: 'peer-message',
      from: vmId('somebody'),
      channel: 'steering',
      body: {kind: 'slots-wanted', slots: 'many'},
    });
    assert.equal(bed.vm.metrics.count('peer.rejected'), 1);
  });

  it('reached no target, and the VM still answers', async () => {
    assert.deepEqual(
      bed.targets.map(target => target.runs()),
      [0, 0],
    );
    assert.equal((await read(`${READ_PATH}/x`, bed.headers())).status, 200);
  });
});

it('a VM without a configuration refuses as not run and says when to come back', async () => {
  const bed = await createTestBed();
  try {
    const vm = await bed.startVm();
    const answer = await sendRequest(`http://${vm.address}${READ_PATH}/x`, {
      headers: bed.headers(),
    });
    assert.deepEqual(
      [answer.status, answer.reason, answer.outcome],
      [503, 'no-configuration', 'not-run'],
    );
    assert.equal(answer.headers.get('retry-after'), '1');
  } finally {
    await bed.close();
  }
});

/** Returns all that the VM sends until it closes the connection. */
function sendRaw(address: string, text: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host);
    let answer = '';
    socket.on('data', (chunk: Buffer) => {
      answer += chunk.toString('utf8');
    });
    socket.on('error', reject);
    socket.on('close', () => resolve(answer));
    socket.write(text);
  });
}
