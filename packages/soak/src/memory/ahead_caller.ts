/** A caller that sends several requests ahead on one connection. */
import {type Socket, connect} from 'node:net';
import type {TimerHandle, TimerService} from '@ibisbeam/library';

export interface AheadRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Bytes of the body; 0 for none. */
  readonly bodyBytes: number;
}

export interface CallerAnswer {
  readonly attemptId: string;
  readonly status: number;
  readonly bodyBytes: number;
}

export interface AheadCaller {
  /** Complete answers, in the order in which they came. */
  readonly answers: readonly CallerAnswer[];
  readonly attemptIds: readonly string[];
  isClosed(): boolean;
  leave(): void;
}

export interface AheadCallerOptions {
  readonly id: string;
  readonly address: {readonly host: string; readonly port: number};
  readonly hostName: string;
  readonly requests: readonly AheadRequest[];
  readonly deadlineMs: number;
  /** How long it reads nothing after it has sent its requests. */
  readonly readsAfterMs: number;
  readonly timers: TimerService;
}

const HEAD_END = Buffer.from('\r\n\r\n');

export function startAheadCaller(options: AheadCallerOptions): AheadCaller {
  const {id, address, hostName, requests, timers} = options;
  const answers: CallerAnswer[] = [];
  const attemptIds: string[] = [];
  let isClosed = false;
  let head = Buffer.alloc(0);
  let current: CallerAnswer | undefined;
  let bodyBytesLeft = 0;
  const socket: Socket = connect(address.port, address.host);
  const readTimer: TimerHandle = timers.after(options.readsAfterMs, () =>
    socket.on('data', read),
  );
  socket.on('error', () => {});
  socket.on('close', () => {
    isClosed = true;
    readTimer.cancel();
  });

  function read(data: Buffer): void {
    let rest = data;
    while (rest.length > 0) {
      if (current) {
        const taken = Math.min(bodyBytesLeft, rest.length);
        bodyBytesLeft -= taken;
        rest = rest.subarray(taken);
      } else {
        rest = readHead(rest);
      }
      if (current && bodyBytesLeft === 0) {
        answers.push(current);
        current = undefined;
      }
    }
  }

  /** Returns what follows the head; empty if it is not complete. */
  function readHead(data: Buffer): Buffer {
    head = Buffer.concat([head, data]);
    const end = head.indexOf(HEAD_END);
    if (end < 0) {
      return Buffer.alloc(0);
    }
    const text = head.subarray(0, end).toString('latin1');
    const rest = head.subarray(end + HEAD_END.length);
    head = Buffer.alloc(0);
    bodyBytesLeft = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
    current = {
      attemptId: /x-ibisbeam-attempt-id: (\S+)/i.exec(text)?.[1] ?? '',
      status: Number(text.split(' ')[1]),
      bodyBytes: bodyBytesLeft,
    };
    return rest;
  }

  for (const [index, {method, path, bodyBytes}] of requests.entries()) {
    const attemptId = `${id}-${index}`;
    attemptIds.push(attemptId);
    socket.write(
      [
        `${method} ${path} HTTP/1.1`,
        `Host: ${hostName}`,
        `X-Ibisbeam-Attempt-Id: ${attemptId}`,
        `X-Ibisbeam-Deadline-Ms: ${options.deadlineMs}`,
        ...(bodyBytes > 0 ? [`Content-Length: ${bodyBytes}`] : []),
        '\r\n',
      ].join('\r\n'),
    );
    if (bodyBytes > 0) {
      socket.write(Buffer.alloc(bodyBytes, 'b'));
    }
  }

  return {
    answers,
    attemptIds,
    isClosed: () => isClosed,
    leave: () => socket.destroy(),
  };
}
