import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {type AddressInfo, type Server, createServer} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {createSystemTimerService} from '@ibisbeam/library';
import {DEFAULT_ANSWER_BOUNDS} from '../src/core/settings.js';
import {createSendScheduler} from '../src/forwarding/send_scheduler.js';
import {startTargetAttempt} from '../src/forwarding/target_attempt.js';

describe('target attempt', () => {
  const timers = createSystemTimerService();
  let server: Server;
  let receivedBytes: number;
  let connectionClosed: Promise<void>;

  beforeEach(async () => {
    receivedBytes = 0;
    server = createServer();
    connectionClosed = new Promise(resolve => {
      server.on('connection', socket => {
        socket.on('data', data => {
          receivedBytes += data.length;
        });
        socket.on('error', () => {});
        socket.on('close', () => resolve());
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });
  afterEach(() => {
    server.close();
  });

  // Guards against requests that are sent when a connection opens, before a
  // disconnect of the client that arrived in the same turn has been read.
  it('sends nothing if it is cancelled in the turn in which its connection opens', async () => {
    const {port} = server.address() as AddressInfo;
    const attempt = startTargetAttempt(
      {
        host: '127.0.0.1',
        port,
        method: 'GET',
        path: '/rooms/7',
        headers: ['Host', 'rooms.example'],
        body: undefined,
        attemptId: 'one',
        agent: new Agent({keepAlive: true}),
        connectTimeoutMs: 1_000,
        answerBounds: DEFAULT_ANSWER_BOUNDS,
      },
      {
        headers: {
          attemptId: 'x-attempt',
          affinityKey: 'x-key',
          deadlineMs: 'x-deadline',
          expectedTarget: 'x-target',
          responseSeal: 'x-seal',
          notExecuted: 'x-not-executed',
          loadReport: 'x-load',
          rateLimit: 'x-limit',
        },
        readLoadReport: () => undefined,
        readRateLimit: () => undefined,
      },
      {
        timers,
        sendScheduler: createSendScheduler({
          timers,
          acceptBacklog: {mayHaveMore: () => false},
        }),
      },
      {
        onSocket: socket =>
          socket.once('connect', () => setImmediate(() => attempt.cancel())),
        onSent: () => {},
        onLoadReport: () => {},
        onRateLimit: () => {},
        onResponseHead: () => {},
        onEndlessAnswer: () => {},
        onEnd: () => {},
      },
    );
    await connectionClosed;
    assert.equal(receivedBytes, 0);
  });
});
