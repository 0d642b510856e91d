/** The peer port: accepts WebSocket upgrades from authenticated VMs. */
import {type IncomingMessage, type Server, createServer} from 'node:http';
import type {Duplex} from 'node:stream';
import type {VmId} from '@ibisbeam/decision';
import {type WebSocket, WebSocketServer} from 'ws';
import type {TokenVerifier} from '../../core/access/index.js';
import {parseSocketAddress} from './addresses.js';
import {MAXIMUM_FRAME_BYTES} from './wire.js';

/** Far above the links that any VM needs; limits misbehaving peers. */
const MAXIMUM_SOCKETS = 256;
const UNAVAILABLE_RESPONSE =
  'HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n';
const BEARER_PREFIX = 'Bearer ';
const UNAUTHORIZED_RESPONSE =
  'HTTP/1.1 401 Unauthorized\r\nConnection: close\r\n\r\n';

export interface PeerServerOptions {
  readonly address: string;
  readonly tokenVerifier: TokenVerifier;
  readonly onSocket: (socket: WebSocket, peer: VmId) => void;
  readonly onRefused: (cause: string) => void;
}

export interface PeerServer {
  start(): Promise<void>;
  stop(): Promise<void>;
}

export function createPeerServer(options: PeerServerOptions): PeerServer {
  const sockets = new WebSocketServer({
    noServer: true,
    maxPayload: MAXIMUM_FRAME_BYTES,
    perMessageDeflate: false,
  });
  const server: Server = createServer((_request, response) => {
    response.statusCode = 426;
    response.end();
  });
  server.on('upgrade', (request, socket, head) => {
    void upgrade(request, socket, head);
  });

  async function upgrade(
    request: IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ): Promise<void> {
    socket.on('error', () => socket.destroy());
    if (sockets.clients.size >= MAXIMUM_SOCKETS) {
      options.onRefused('too-many');
      socket.end(UNAVAILABLE_RESPONSE);
      return;
    }
    const verified = await options.tokenVerifier.verify(
      extractBearerToken(request),
      'ibisbeam-peer',
    );
    const principal = verified.toMaybe().extractNullable();
    if (principal?.kind !== 'vm') {
      options.onRefused(verified.isLeft() ? 'token' : 'not-a-vm');
      socket.end(UNAUTHORIZED_RESPONSE);
      return;
    }
    sockets.handleUpgrade(request, socket, head, opened => {
      options.onSocket(opened, principal.vm);
    });
  }

  return {
    start: () =>
      new Promise((resolve, reject) => {
        const {host, port} = parseSocketAddress(options.address);
        server.once('error', reject);
        server.listen(port, host, () => {
          server.off('error', reject);
          resolve();
        });
      }),
    stop: () =>
      new Promise(resolve => {
        for (const client of sockets.clients) {
          client.terminate();
        }
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

function extractBearerToken(request: IncomingMessage): string | undefined {
  const header = request.headers.authorization;
  return header?.startsWith(BEARER_PREFIX)
    ? header.slice(BEARER_PREFIX.length)
    : undefined;
}
