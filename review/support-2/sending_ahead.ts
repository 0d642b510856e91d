/** A client that sends requests on one connection before it has all answers. */
import {createConnection} from 'node:net';
import type {Address} from './fleet.js';

export interface AheadResult {
  /** Status of each request in order; 0 without a whole answer. */
  readonly statuses: readonly number[];
  /** Why the connection ended; empty if all answers are there. */
  readonly cause: string;
}

export interface AheadRequests {
  /** Each is sent once the one before it has been answered. */
  readonly first: readonly string[];
  /** Sent at once, when the first bytes of the last answer have come. */
  readonly ahead: readonly string[];
  readonly deadlineMs: number;
}

const HEAD_END = '\r\n\r\n';

/** @param requests Heads of requests without a body. */
export function sendAhead(
  {host, port}: Address,
  {first, ahead, deadlineMs}: AheadRequests,
): Promise<AheadResult> {
  return new Promise(resolve => {
    const socket = createConnection({host, port});
    const statuses: number[] = [];
    const count = first.length + ahead.length;
    let buffer = Buffer.alloc(0);
    let sent = 0;
    let isAheadSent = false;

    function end(cause: string): void {
      clearTimeout(timer);
      const missing = Array.from({length: count - statuses.length}, () => 0);
      resolve({statuses: [...statuses, ...missing], cause});
      socket.destroy();
    }

    function sendNext(): void {
      socket.write(first[sent]!);
      sent += 1;
    }

    /** Returns false if the next answer is not whole. */
    function readAnswer(): boolean {
      const headEnd = buffer.indexOf(HEAD_END);
      if (headEnd < 0) {
        return false;
      }
      const head = buffer.subarray(0, headEnd).toString('latin1');
      const bytes = Number(/^content-length: *(\d+)$/im.exec(head)?.[1] ?? 0);
      const answerEnd = headEnd + HEAD_END.length + bytes;
      if (statuses.length === first.length - 1 && !isAheadSent) {
        isAheadSent = true;
        socket.write(ahead.join(''));
      }
      if (buffer.length < answerEnd) {
        return false;
      }
      statuses.push(Number(head.slice(9, 12)));
      buffer = buffer.subarray(answerEnd);
      if (sent < first.length) {
        sendNext();
      }
      return true;
    }

    const timer = setTimeout(() => end('deadline'), deadlineMs);
    socket.on('connect', sendNext);
    socket.on('data', (chunk: Buffer) => {
      buffer = Buffer.concat([buffer, chunk]);
      while (readAnswer()) {
        if (statuses.length === count) {
          end('');
          return;
        }
      }
    });
    socket.on('error', error => end(error.message));
    socket.on('end', () => end('the connection ended'));
  });
}
