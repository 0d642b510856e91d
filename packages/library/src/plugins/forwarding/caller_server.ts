/** The HTTP server of the caller port. */
import {type Server, createServer} from 'node:http';
import {type AddressInfo, Server as NetServer} from 'node:net';
import Koa from 'koa';
import type {Middleware} from 'koa';
import {
  type CallerRoutes,
  beginRequestBody,
  createClientConnections,
  readAllHeaderLines,
} from '../../core/http/index.js';
import type {TaskContext} from '../../core/kernel/index.js';

/** Callers keep connections open beyond the lifetime of a look-up. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const HEADERS_TIMEOUT_MS = 10_000;

export interface CallerServer {
  /** @returns The bound address, with the port that the system assigned. */
  listen(): Promise<string>;
  /** Number of requests whose response has not left completely. */
  inFlight(): number;
  /** Number of connections whose caller may still be reading the last response. */
  lingering(): number;
  closeIdle(): void;
  /** Stops accepting connections and closes idle ones. */
  close(): void;
  /** Closes all connections, including those with requests in flight. */
  terminate(): void;
}

export function createCallerServer(
  context: Pick<TaskContext, 'settings' | 'metrics' | 'logger' | 'timers'>,
  routes: CallerRoutes,
  forward: Middleware,
): CallerServer {
  const {settings, metrics, logger, timers} = context;
  const application = new Koa();
  application.silent = true;
  application.use(routes.middleware);
  application.use(forward);

  const connections = createClientConnections({timers});
  const handle = application.callback();
  const server: Server = createServer(
    {
      maxHeaderSize: settings.requests.maximumHeaderBytes,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
    },
    (incoming, outgoing) => {
      connections.recordRequest(incoming, outgoing);
      beginRequestBody(incoming);
      void handle(incoming, outgoing);
    },
  );
  readAllHeaderLines(server);
  server.on('connection', connections.add);

  server.on('clientError', (error: Error & {code?: string}, socket) => {
    metrics.emit({
      kind: 'count',
      name: 'request.refused',
      tags: {reason: 'malformed-request'},
    });
    logger.log('info', 'input-refused', {port: 'caller', cause: error.code});
    if (!socket.writable || socket.destroyed) {
      socket.destroy();
      return;
    }
    socket.end(malformedRequestResponse(error.code));
  });

  return {
    listen: () => {
      const [host, port] = splitAddress(settings.listen.caller);
      return new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, () => {
          const {
            address,
            family,
            port: boundPort,
          } = server.address() as AddressInfo;
          resolve(
            family === 'IPv6'
              ? `[${address}]:${boundPort}`
              : `${address}:${boundPort}`,
          );
        });
      });
    },
    inFlight: connections.inFlight,
    lingering: connections.lingering,
    closeIdle: connections.closeIdle,
    close: () => {
      // The method of http.Server also destroys connections whose responses
      // still wait for a slow reader.
      NetServer.prototype.close.call(server);
      connections.closeIdle();
    },
    terminate: () => server.closeAllConnections(),
  };
}

/** The raw response to input that the HTTP parser rejected. */
function malformedRequestResponse(code: string | undefined): string {
  const tooLarge = code === 'HPE_HEADER_OVERFLOW';
  const status = tooLarge
    ? '431 Request Header Fields Too Large'
    : '400 Bad Request';
  const body = JSON.stringify({
    type: 'https://ibisbeam.example/problems/malformed-request',
    title: 'The request is malformed.',
    status: tooLarge ? 431 : 400,
    detail: tooLarge ? 'the headers are too long' : 'not a valid HTTP request',
    outcome: 'not-run',
  });
  return [
    `HTTP/1.1 ${status}`,
    'Content-Type: application/problem+json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Ibisbeam-Outcome: not-run',
    'Connection: close',
    '',
    body,
  ].join('\r\n');
}

function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return [host, Number(address.slice(colon + 1))];
}
