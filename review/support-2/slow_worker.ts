/**
 * A worker that sends its answers in two parts, and may break off after the
 * first one.
 */
import {type IncomingMessage, createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

export interface SlowWorker {
  readonly port: number;
  /** Attempt identifiers of the requests that it has run. */
  readonly runs: readonly string[];
  /** The next answer ends after its first part. */
  breakOffNext(): void;
  close(): void;
}

export interface SlowWorkerOptions {
  readonly id: string;
  readonly host: string;
  readonly workMs: number;
  readonly answerBytes: number;
  readonly firstPartBytes: number;
  /** Time between the two parts. */
  readonly pauseMs: number;
}

const HEADER_PREFIX = 'X-Ibisbeam';

export function startSlowWorker(
  options: SlowWorkerOptions,
): Promise<SlowWorker> {
  const {id, workMs, answerBytes, firstPartBytes, pauseMs} = options;
  const runs: string[] = [];
  let breaksOff = false;

  function writeHead(socket: Socket, status: string, headers: string[]): void {
    socket.write(`HTTP/1.1 ${status}\r\n${headers.join('\r\n')}\r\n\r\n`);
  }

  function answer(incoming: IncomingMessage, attemptId: string): void {
    const {socket} = incoming;
    const isBroken = breaksOff;
    breaksOff = false;
    writeHead(socket, '200 OK', [
      `${HEADER_PREFIX}-Attempt-Id: ${attemptId}`,
      `${HEADER_PREFIX}-Response-Seal: seal-${id}-${attemptId}`,
      `Content-Length: ${answerBytes}`,
    ]);
    socket.write(Buffer.alloc(firstPartBytes, 'x'));
    setTimeout(() => {
      if (isBroken) {
        socket.end();
        return;
      }
      socket.write(Buffer.alloc(answerBytes - firstPartBytes, 'x'));
    }, pauseMs);
  }

  const server = createServer(incoming => {
    const {headers, socket} = incoming;
    const attemptId = String(headers['x-ibisbeam-attempt-id'] ?? '');
    const expected = headers['x-ibisbeam-expect-instance'];
    incoming.resume();
    if (expected !== undefined && expected !== id) {
      writeHead(socket, '421 Misdirected Request', [
        `${HEADER_PREFIX}-Attempt-Id: ${attemptId}`,
        'Content-Length: 0',
      ]);
      return;
    }
    runs.push(attemptId);
    setTimeout(() => answer(incoming, attemptId), workMs);
  });
  server.keepAliveTimeout = 10_000;
  return new Promise(resolve => {
    server.listen(0, options.host, () => {
      resolve({
        port: (server.address() as AddressInfo).port,
        runs,
        breakOffNext: () => {
          breaksOff = true;
        },
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
}
