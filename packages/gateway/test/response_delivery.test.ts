import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import {type AddressInfo, type Socket, connect} from 'node:net';
import {Readable} from 'node:stream';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {createSystemTimerService} from '@ibisbeam/library';
import {deliverResponse} from '../src/forwarding/response_delivery.js';

const PIECE = Buffer.from('a line of 20 bytes.\n');
const MAXIMUM_PIECES = 1_000_000;
const PIECES_PER_TURN = 100;
const MAXIMUM_WAITING_BYTES = 4_096;

describe('delivery of a long response', () => {
  const timers = createSystemTimerService();
  let server: Server;
  let caller: Socket;
  let outgoing: ServerResponse;
  let stream: Readable;
  let limitAfterMs: number;
  let brokenOff: number;

  beforeEach(async () => {
    server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    caller = connect({host: '127.0.0.1', port});
    caller.on('error', () => {});
    caller.pause();
    caller.write('GET / HTTP/1.1\r\nHost: rooms.example\r\n\r\n');
    [, outgoing] = (await once(server, 'request')) as [
      IncomingMessage,
      ServerResponse,
    ];
    stream = Object.assign(new Readable({read: () => {}}), {complete: true});
    limitAfterMs = 60_000;
    brokenOff = 0;
  });

  function deliver(): void {
    deliverResponse(
      outgoing,
      {
        status: 200,
        rawHeaders: [],
        body: {
          kind: 'streaming',
          bufferedChunks: [],
          bufferedBytes: 0,
          heldBytes: 0,
          stream: stream as IncomingMessage,
        },
      },
      {
        droppedHeaders: new Set(),
        timers,
        limitAtMs: timers.nowMs() + limitAfterMs,
        onBufferedSent: () => {},
        onBrokenOff: () => {
          brokenOff += 1;
        },
      },
    );
  }

  afterEach(() => {
    caller.destroy();
    outgoing.destroy();
    server.close();
  });

  async function sendUntilPaused(): Promise<number> {
    let pieces = 0;
    while (!stream.isPaused() && pieces < MAXIMUM_PIECES) {
      for (let index = 0; index < PIECES_PER_TURN; index += 1) {
        stream.push(PIECE);
      }
      pieces += PIECES_PER_TURN;
      await new Promise(resolve => {
        setImmediate(resolve);
      });
    }
    assert.ok(stream.isPaused());
    return pieces;
  }

  // Guards against callers that read nothing while each short piece of their
  // stream takes several objects.
  it('waits for its caller when many short pieces have not left', async () => {
    deliver();
    await sendUntilPaused();
    const waitingBytes = outgoing.writableLength;
    assert.ok(waitingBytes <= MAXIMUM_WAITING_BYTES, `${waitingBytes} bytes`);
  });

  it('goes on when its caller reads again', async () => {
    deliver();
    const pieces = await sendUntilPaused();
    stream.push(null);
    const parts: string[] = [];
    caller.setEncoding('latin1');
    caller.on('data', (part: string) => parts.push(part));
    caller.resume();
    while (!parts.at(-1)?.endsWith('\r\n0\r\n\r\n')) {
      await once(caller, 'data');
    }
    const lines = parts.join('').split('a line of 20 bytes.').length - 1;
    assert.equal(lines, pieces);
  });

  // Guards against a target that is taken for silent, and its answer cut off,
  // because this process did not run for a while.
  it('goes on after a pause of this process, with what came meanwhile', async () => {
    limitAfterMs = 50;
    caller.resume();
    deliver();
    stream.push(PIECE);
    await timers.sleep(20);
    const untilMs = timers.nowMs() + 400;
    while (timers.nowMs() < untilMs) {
      // The event loop stands still.
    }
    // Sockets are read after the timers that are due.
    setImmediate(() => stream.push(PIECE));
    await timers.sleep(100);
    assert.equal(brokenOff, 0);
  });

  it('is broken off if its target is silent after the time limit', async () => {
    limitAfterMs = 50;
    caller.resume();
    deliver();
    stream.push(PIECE);
    await timers.sleep(700);
    assert.equal(brokenOff, 1);
  });
});
