/**
 * HTTP server for requests without bodies, which bounds what one connection
 * may send, and what is kept for a client that does not read its answers.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import type {InputFault} from './input_faults.js';

export interface BodilessServerOptions {
  onRequest(incoming: IncomingMessage, outgoing: ServerResponse): void;
  /** A connection was closed because of what it has sent. */
  onRefused?(fault: InputFault): void;
}

interface Connection {
  /** Bytes of the reads since the last request began. */
  bytesSinceRequest: number;
  unanswered: number;
  isUpgraded: boolean;
}

/** Connections beyond it are closed at once. */
const MAXIMUM_CONNECTIONS = 4_096;
/** From here on, the one that has been idle longest is closed for a new one. */
const CROWDED_CONNECTIONS = 2_048;
/** One read of 64 KiB may go on after the head, which has 16 KiB at most. */
const MAXIMUM_BYTES_WITHOUT_REQUEST = 131_072;
const MAXIMUM_UNANSWERED_REQUESTS = 16;
/** Unread answers beyond it end their connection with the next request. */
const MAXIMUM_UNREAD_BYTES = 1_048_576;
/** A request whose head or answer gets no further for so long is given up. */
const STALL_TIMEOUT_MS = 30_000;
const BAD_REQUEST_RESPONSE =
  'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';

export function createBodilessServer({
  onRequest,
  onRefused = () => {},
}: BodilessServerOptions): Server {
  const connections = new Map<Duplex, Connection>();
  const server = createServer((incoming, outgoing) => {
    const connection = connections.get(incoming.socket);
    if (!connection || incoming.socket.destroyed) {
      return;
    }
    connection.bytesSinceRequest = 0;
    // The map's order is that of their last requests.
    connections.delete(incoming.socket);
    connections.set(incoming.socket, connection);
    const fault = faultOf(incoming, connection);
    if (fault) {
      refuse(incoming.socket, fault);
      return;
    }
    connection.unanswered += 1;
    outgoing.on('close', () => {
      connection.unanswered -= 1;
    });
    incoming.resume();
    onRequest(incoming, outgoing);
  });
  server.maxConnections = MAXIMUM_CONNECTIONS;
  server.timeout = STALL_TIMEOUT_MS;

  function refuse(socket: Duplex, fault: InputFault): void {
    onRefused(fault);
    socket.destroy();
  }

  function closeLongestIdle(): void {
    for (const [socket, {unanswered}] of connections) {
      if (unanswered === 0) {
        connections.delete(socket);
        socket.destroy();
        return;
      }
    }
  }

  function onBytes(socket: Socket, connection: Connection, bytes: number) {
    connection.bytesSinceRequest += bytes;
    const isTooMuch =
      connection.bytesSinceRequest > MAXIMUM_BYTES_WITHOUT_REQUEST;
    if (isTooMuch && !connection.isUpgraded && !socket.destroyed) {
      refuse(socket, 'long-body');
    }
  }

  server.on('connection', (socket: Socket) => {
    const connection: Connection = {
      bytesSinceRequest: 0,
      unanswered: 0,
      isUpgraded: false,
    };
    connections.set(socket, connection);
    socket.on('close', () => connections.delete(socket));
    socket.on('data', (chunk: Buffer) =>
      onBytes(socket, connection, chunk.length),
    );
    if (connections.size > CROWDED_CONNECTIONS) {
      closeLongestIdle();
    }
  });
  server.prependListener('upgrade', (_incoming, socket) => {
    const connection = connections.get(socket);
    if (connection) {
      connection.isUpgraded = true;
    }
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const isParserError = error.code?.startsWith('HPE_') ?? false;
    if (isParserError && !socket.destroyed) {
      onRefused(
        error.code === 'HPE_HEADER_OVERFLOW' ? 'long-head' : 'malformed',
      );
      socket.write(BAD_REQUEST_RESPONSE);
    }
    socket.destroy();
  });
  return server;
}

function faultOf(
  {headers, socket}: IncomingMessage,
  {unanswered}: Connection,
): InputFault | undefined {
  if (headers['transfer-encoding'] !== undefined) {
    return 'unexpected';
  }
  const isUnread =
    unanswered >= MAXIMUM_UNANSWERED_REQUESTS ||
    socket.writableLength > MAXIMUM_UNREAD_BYTES;
  return isUnread ? 'unexpected' : undefined;
}
