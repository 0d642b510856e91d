/** A target that writes whatever bytes a test wants. */
import {type AddressInfo, type Socket, createServer} from 'node:net';
import type {LocalFleet} from '../../src/index.js';

export interface ScriptedRequest {
  readonly attemptId: string;
  /** Number of the request on its connection, from 0. */
  readonly index: number;
  readonly socket: Socket;
}

export interface ScriptedTarget {
  readonly id: string;
  close(): Promise<void>;
}

const HEAD_END = '\r\n\r\n';

/** Lists a target of the service `availability` that answers by `onRequest`. */
export async function startScriptedTarget(
  fleet: LocalFleet,
  id: string,
  onRequest: (request: ScriptedRequest) => void,
): Promise<ScriptedTarget> {
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {});
    let text = '';
    let index = 0;
    socket.setEncoding('latin1');
    socket.on('data', (chunk: string) => {
      text += chunk;
      for (;;) {
        const headEnd = text.indexOf(HEAD_END);
        const head = text.slice(0, headEnd);
        const bodyBytes = Number(headerOf(head, 'content-length') ?? 0);
        const requestEnd = headEnd + HEAD_END.length + bodyBytes;
        if (headEnd < 0 || text.length < requestEnd) {
          return;
        }
        text = text.slice(requestEnd);
        const attemptId = headerOf(head, 'x-ibisbeam-attempt-id') ?? '';
        onRequest({attemptId, index, socket});
        index += 1;
      }
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  fleet.store.put('servers', id, {
    service: 'availability',
    address: `127.0.0.1:${port}`,
    zone: 'riga-a',
    version: 'v1',
    slots: 4,
    state: 'ready',
    cold_remaining_ms: 0,
    sequence: 1,
    born: 1_700_000_000_000,
  });
  return {
    id,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const socket of sockets) {
          socket.destroy();
        }
      }),
  };
}

function headerOf(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim();
}

export function answerText(attemptId: string): string {
  return [
    'HTTP/1.1 200 OK',
    `X-Ibisbeam-Attempt-Id: ${attemptId}`,
    `X-Ibisbeam-Response-Seal: seal-${attemptId}`,
    'Content-Length: 5',
    '',
    'whole',
  ].join('\r\n');
}

export function refusalText(attemptId: string): string {
  return [
    'HTTP/1.1 503 Refused',
    `X-Ibisbeam-Attempt-Id: ${attemptId}`,
    'X-Ibisbeam-Not-Executed: 1',
    'Content-Length: 0',
    '',
    '',
  ].join('\r\n');
}
