/** A client that reads its answer at a steady pace, on a connection of its own. */
import {type Socket, createConnection} from 'node:net';
import type {Address} from './fleet.js';

export interface SlowRequest {
  readonly head: string;
  readonly bytesPerSecond: number;
  readonly deadlineMs: number;
  /** Sent on the same connection later, before the answer has been read. */
  readonly ahead?: {readonly head: string; readonly afterMs: number};
}

export interface SlowAnswer {
  readonly status: number;
  readonly connection: string;
  readonly statedBytes: number;
  readonly readBytes: number;
  /** Why the connection ended before the end of the answer; empty if not. */
  readonly cause: string;
  readonly tookMs: number;
}

const HEAD_END = '\r\n\r\n';
const MILLISECONDS_PER_SECOND = 1_000;

export function readSlowly(
  {host, port}: Address,
  request: SlowRequest,
): Promise<SlowAnswer> {
  return new Promise(resolve => {
    const startedAtMs = Date.now();
    const socket: Socket = createConnection({host, port});
    let head = '';
    let isHeadRead = false;
    let status = 0;
    let connection = '';
    let statedBytes = -1;
    let readBytes = 0;
    let isOver = false;
    const timers: NodeJS.Timeout[] = [];

    function end(cause: string): void {
      if (isOver) {
        return;
      }
      isOver = true;
      timers.forEach(clearTimeout);
      const tookMs = Date.now() - startedAtMs;
      resolve({status, connection, statedBytes, readBytes, cause, tookMs});
      socket.destroy();
    }

    function readHead(text: string): void {
      isHeadRead = true;
      status = Number(text.slice(9, 12));
      connection = /^connection: *(.*)$/im.exec(text)?.[1] ?? '';
      statedBytes = Number(/^content-length: *(\d+)$/im.exec(text)?.[1] ?? -1);
    }

    socket.on('connect', () => {
      socket.write(request.head);
      if (request.ahead) {
        const {head: next, afterMs} = request.ahead;
        timers.push(setTimeout(() => socket.write(next), afterMs));
      }
    });
    socket.on('data', (chunk: Buffer) => {
      let body = chunk.length;
      if (!isHeadRead) {
        head += chunk.toString('latin1');
        const index = head.indexOf(HEAD_END);
        if (index < 0) {
          return;
        }
        body = head.length - index - HEAD_END.length;
        readHead(head.slice(0, index));
      }
      readBytes += body;
      if (statedBytes >= 0 && readBytes >= statedBytes) {
        end('');
        return;
      }
      socket.pause();
      const pauseMs =
        (chunk.length / request.bytesPerSecond) * MILLISECONDS_PER_SECOND;
      timers.push(setTimeout(() => socket.resume(), pauseMs));
    });
    socket.on('error', error => end(error.message));
    socket.on('end', () => end('the connection ended'));
    socket.on('close', () => end('the connection was closed'));
    timers.push(setTimeout(() => end('deadline'), request.deadlineMs));
  });
}
