import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import Koa, {type Context, type Next} from 'koa';
import type {Principal} from '../../core/access/index.js';
import type {Task, TaskContext} from '../../core/kernel/index.js';
import {createDeduplicatedLog} from '../../core/logs/index.js';
import type {TaskMessages, VmEvent} from '../../core/messages/index.js';
import type {ObservedState} from './build_status.js';
import {respondWithProblem} from './problems.js';
import {createOperatorRoutes} from './routes.js';

const MAXIMUM_CONNECTIONS = 64;
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 10_000;
const MAXIMUM_HEADER_BYTES = 16_384;
const BEARER_PATTERN = /^Bearer (\S+)$/;

/** Serves status, explanations, events and burn summaries to operators. */
export function createOperatorPortTask(
  context: TaskContext,
): Task<'operator_port'> {
  const {logger, metrics, timers, tokenVerifier} = context;
  const accessRefusals = createDeduplicatedLog(
    logger,
    timers,
    'warn',
    'access-refused',
  );
  const inputRefusals = createDeduplicatedLog(
    logger,
    timers,
    'warn',
    'input-refused',
  );
  const observed: ObservedState = {stopping: false};
  const server = createServer(
    {
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
    },
    createApplication().callback(),
  );
  server.maxConnections = MAXIMUM_CONNECTIONS;
  server.on('clientError', handleClientError);

  function createApplication(): Koa {
    const application = new Koa();
    const router = createOperatorRoutes(context, observed);
    application.silent = true;
    application.use(handleErrors);
    application.use(authorize);
    application.use(router.routes());
    application.use(handleUnknownRoute);
    return application;
  }

  async function handleErrors(http: Context, next: Next): Promise<void> {
    try {
      await next();
    } catch (error) {
      logger.log('error', 'task-failed', {
        task: 'operator_port',
        error: error instanceof Error ? error.message : String(error),
      });
      respondWithProblem(http, 'internal');
    }
    if (http.status === 400) {
      countRefusal('malformed-request');
      inputRefusals.log('malformed-request', {
        port: 'operator',
        path: http.path,
      });
    }
  }

  async function authorize(http: Context, next: Next): Promise<void> {
    const header = http.get('authorization');
    const token = BEARER_PATTERN.exec(header)?.[1];
    const verified = await tokenVerifier
      .verify(token, 'ibisbeam-operator')
      .run();
    await verified.caseOf<Promise<void>>({
      Left: async error => {
        recordRefusal(error.kind);
        respondWithProblem(http, 'unauthenticated');
      },
      Right: async principal => {
        if (!isPermitted(principal, http.method)) {
          recordRefusal('principal');
          respondWithProblem(http, 'not-allowed');
          return;
        }
        if (http.method !== 'GET') {
          logger.log('info', 'operator-call', {
            method: http.method,
            path: http.path,
            principal: principal.kind === 'operator' ? principal.name : '',
          });
        }
        await next();
      },
    });
  }

  function recordRefusal(cause: string): void {
    countRefusal(cause);
    accessRefusals.log(cause, {port: 'operator', cause});
  }

  function countRefusal(cause: string): void {
    metrics.emit({
      kind: 'count',
      name: 'access.refused',
      tags: {port: 'operator', cause},
    });
  }

  function handleClientError(error: Error, socket: Socket): void {
    countRefusal('broken-input');
    inputRefusals.log('broken-input', {
      port: 'operator',
      cause: error.message,
    });
    if (socket.writable) {
      socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n');
      return;
    }
    socket.destroy();
  }

  function observe(event: VmEvent): void {
    switch (event.kind) {
      case 'configuration-in-force':
        observed.configuration = event.configuration;
        return;
      case 'store-reachability':
        if (observed.storeReachable !== event.reachable) {
          observed.storeReachable = event.reachable;
          observed.storeReachabilitySinceWallMs = timers.wallMs();
        }
        return;
      case 'stop-began':
        observed.stopping = true;
        return;
      default:
        return;
    }
  }

  function receive(message: TaskMessages['operator_port']): void {
    message.reply({address: addressOf(server)});
  }

  return {
    start: () => listen(server, context.settings.listen.operator),
    stop: () => close(server),
    observe,
    receive,
  };
}

/**
 * Operators may call everything, target owners may read, and calling teams and
 * VMs may call nothing.
 */
function isPermitted(principal: Principal, method: string): boolean {
  switch (principal.kind) {
    case 'operator':
      return true;
    case 'target-owner':
      return method === 'GET';
    case 'calling-team':
    case 'vm':
      return false;
  }
}

async function handleUnknownRoute(http: Context): Promise<void> {
  if (http.body === undefined && http.status === 404) {
    respondWithProblem(http, 'not-found', http.path.slice(0, 200));
  }
}

function listen(server: Server, address: string): Promise<void> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
    // Responses of this port are short; a slow reader must not delay the stop.
    server.closeAllConnections();
  });
}

function addressOf(server: Server): string {
  const address = server.address() as AddressInfo | null;
  if (!address) {
    return '';
  }
  const host =
    address.family === 'IPv6' ? `[${address.address}]` : address.address;
  return `${host}:${address.port}`;
}
