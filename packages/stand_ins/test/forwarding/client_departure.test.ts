import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {createSystemTimerService} from '@ibisbeam/library';
import {READ_PATH, createRunningBed} from './harness.js';

const timers = createSystemTimerService();

describe('work for callers that leave', () => {
  let bed: Awaited<ReturnType<typeof createRunningBed>>;
  afterEach(() => bed.close());

  // Guards against requests that are sent to a target before the caller's
  // disconnect, which arrived with them, has been read.
  it('sends no read whose caller left before the request was read', async () => {
    bed = await createRunningBed();
    const {hostname, port} = new URL(bed.url);
    const socket = connect(Number(port), hostname);
    await new Promise(resolve => {
      socket.once('connect', resolve);
    });
    // The VM has accepted the connection and reads from it by then.
    await timers.sleep(20);
    const headers = Object.entries(bed.headers({host: hostname}));
    const lines = headers.map(([name, value]) => `${name}: ${value}`);
    const head = [`GET ${READ_PATH}/rooms HTTP/1.1`, ...lines];
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
    socket.destroy();
    await timers.sleep(300);
    assert.equal(bed.targets.flatMap(target => target.received()).length, 0);
  });
});
