import assert from 'node:assert/strict';
import {type AddressInfo, type Socket, createServer} from 'node:net';
import {describe, it} from 'node:test';
import {createManualTimerService} from '@ibisbeam/library';
import {pollUntil, settleWithin} from '../src/index.js';
import {get} from './object_platform/harness.js';

const TEST_TIMEOUT_MS = 5_000;

describe('bounded waits', () => {
  it('return what the promise resolves to, or its error', async () => {
    const timers = createManualTimerService();
    const wait = {timers, timeoutMs: 100, awaited: 'a number'};
    assert.equal(await settleWithin(wait, Promise.resolve(7)), 7);
    await assert.rejects(
      settleWithin(wait, Promise.reject(new Error('its own'))),
      /its own/,
    );
    assert.equal(timers.pendingCount(), 0);
  });

  it('say what they have waited for', async () => {
    const timers = createManualTimerService();
    const wait = {timers, timeoutMs: 100, awaited: 'the fleet to stop'};
    const failed = assert.rejects(
      settleWithin(wait, new Promise(() => {})),
      /waited 100 ms for the fleet to stop/,
    );
    await timers.advance(100);
    await failed;
  });

  it('end polls whose condition never holds, or never says', async () => {
    for (const answer of [
      Promise.resolve(false),
      new Promise<never>(() => {}),
    ]) {
      const timers = createManualTimerService();
      const wait = {timers, timeoutMs: 100, awaited: 'a VM to be ready'};
      const failed = assert.rejects(
        pollUntil(wait, () => answer),
        /waited 100 ms for a VM to be ready/,
      );
      await timers.advance(200);
      await failed;
    }
  });

  // Guards against a test that hangs since a server never answers.
  it(
    'end a request that is never answered',
    {timeout: TEST_TIMEOUT_MS},
    async () => {
      const sockets: Socket[] = [];
      const server = createServer(socket => sockets.push(socket));
      await new Promise<void>(resolve => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const {port} = server.address() as AddressInfo;
      try {
        await assert.rejects(
          get({host: '127.0.0.1', port}, '/ready', 100),
          /waited 100 ms for the answer to GET \/ready/,
        );
      } finally {
        server.close();
        for (const socket of sockets) {
          socket.destroy();
        }
      }
    },
  );
});
