/**
 * HTTP server for GET endpoints: readiness checks, the client directory and
 * metrics.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createBodilessServer} from '../core/bodiless_server.js';
import type {InputFault} from '../core/input_faults.js';
import type {HostAndPort} from '../core/settings.js';

export type ControlResponse = {
  readonly status: number;
  /** Default: text/plain. */
  readonly contentType?: string;
  /** Default: empty. */
  readonly body?: string;
};

export interface ControlServer {
  listen(): Promise<void>;
  /** Stops listening and closes idle connections. */
  close(): void;
}

const BASE_URL = 'http://localhost';

/** Dispatches by path; other paths and methods get a 404. */
export function createControlServer(
  address: HostAndPort,
  handlers: ReadonlyMap<
    string,
    (url: URL) => ControlResponse | Promise<ControlResponse>
  >,
  onRefused: (fault: InputFault) => void = () => {},
): ControlServer {
  const server: Server = createBodilessServer({
    onRequest: (incoming, outgoing) => void respond(incoming, outgoing),
    onRefused,
  });

  async function respond(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const url = readUrl(incoming.url ?? '/');
    const handler =
      url && incoming.method === 'GET' ? handlers.get(url.pathname) : undefined;
    const result = url && handler ? await handler(url) : {status: 404};
    const body = result.body ?? '';
    outgoing.writeHead(result.status, {
      'Content-Type': result.contentType ?? 'text/plain',
      'Content-Length': Buffer.byteLength(body),
    });
    outgoing.end(body);
  }

  return {
    listen: () =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(address.port, address.host, () => resolve());
      }),
    close: () => {
      server.close();
      server.closeIdleConnections();
    },
  };
}

/** Undefined for a request target such as `//`, which is no URL. */
function readUrl(target: string): URL | undefined {
  return URL.canParse(target, BASE_URL) ? new URL(target, BASE_URL) : undefined;
}
