/**
 * Stand-in worker after PROTOCOL.md ("Workers"): slots, a short queue, one
 * request at a time on a connection, echoed attempt identifiers, a seal for each
 * answer, and no work for a request whose connection has closed. A case may
 * spoil single answers.
 */
import {
  type IncomingMessage,
  type ServerResponse,
  createServer,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {TimerService} from '@ibisbeam/library';
import type {CaseRecord} from './record.js';

export interface WorkerRun {
  readonly attemptId: string;
  readonly path: string;
  readonly startedAtMs: number;
  /** Undefined while the worker is at work. */
  endedAtMs: number | undefined;
  /** Whether the connection closed before the end. */
  isCancelled: boolean;
}

export interface WorkerRequest {
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly bodyBytes: number;
}

export interface Worker {
  readonly id: string;
  readonly runs: readonly WorkerRun[];
  /** Entry in the store. */
  entry(): Readonly<Record<string, unknown>>;
  close(): void;
}

export interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly timers: TimerService;
  readonly record: CaseRecord;
  workMs(request: WorkerRequest): number;
  bodyBytes(request: WorkerRequest): number;
  /**
   * Answers in the worker's place after its work; returns false if the worker
   * shall answer as usual.
   *
   * @param head The head of the usual answer, up to the empty line.
   */
  spoil?(
    request: WorkerRequest,
    socket: Socket,
    head: string,
    body: Buffer,
  ): boolean;
}

const HOST = '127.0.0.1';
const QUEUE_PER_SLOT = 3;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;

export async function startWorker(options: WorkerOptions): Promise<Worker> {
  const {id, slots, timers, record} = options;
  const runs: WorkerRun[] = [];
  const waiting: (() => void)[] = [];
  const sockets = new Set<Socket>();
  let running = 0;

  const server = createServer((incoming, outgoing) => {
    if (incoming.url === '/health') {
      outgoing.writeHead(200, {
        'X-Ibisbeam-Instance-Id': id,
        'X-Ibisbeam-Server-Load': loadText(),
      });
      outgoing.end();
      return;
    }
    let bodyBytes = 0;
    incoming.on('data', (chunk: Buffer) => {
      bodyBytes += chunk.length;
    });
    incoming.on('end', () => onRequest(incoming, outgoing, bodyBytes));
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
  });

  function loadText(): string {
    return `${running},${waiting.length},${slots}`;
  }

  function onRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    bodyBytes: number,
  ): void {
    const request: WorkerRequest = {
      attemptId: headerOf(incoming, 'x-ibisbeam-attempt-id') ?? '',
      method: incoming.method ?? '',
      path: incoming.url ?? '',
      bodyBytes,
    };
    const expected = headerOf(incoming, 'x-ibisbeam-expect-instance');
    if (expected !== undefined && expected !== id) {
      outgoing.writeHead(421, {
        'X-Ibisbeam-Attempt-Id': request.attemptId,
        'X-Ibisbeam-Instance-Id': id,
      });
      outgoing.end();
      return;
    }
    if (running >= slots && waiting.length >= slots * QUEUE_PER_SLOT) {
      outgoing.writeHead(503, {
        'X-Ibisbeam-Attempt-Id': request.attemptId,
        'X-Ibisbeam-Not-Executed': '1',
        'X-Ibisbeam-Server-Load': loadText(),
      });
      outgoing.end();
      return;
    }
    const start = (): void => run(request, incoming, outgoing);
    if (running < slots) {
      start();
    } else {
      waiting.push(start);
    }
  }

  function run(
    request: WorkerRequest,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): void {
    if (outgoing.destroyed) {
      startNext();
      return;
    }
    running += 1;
    const {attemptId, path} = request;
    const workerRun: WorkerRun = {
      attemptId,
      path,
      startedAtMs: timers.nowMs(),
      endedAtMs: undefined,
      isCancelled: false,
    };
    runs.push(workerRun);
    record.add(`${id} runs ${attemptId} ${path}`);
    const timer = timers.after(options.workMs(request), () => {
      outgoing.removeListener('close', onClose);
      end();
      answer(request, incoming.socket, outgoing);
    });

    function onClose(): void {
      timer.cancel();
      workerRun.isCancelled = true;
      record.add(`${id} stops ${attemptId}: its connection closed`);
      end();
    }

    function end(): void {
      workerRun.endedAtMs = timers.nowMs();
      running -= 1;
      startNext();
    }

    outgoing.once('close', onClose);
  }

  function startNext(): void {
    if (running < slots) {
      waiting.shift()?.();
    }
  }

  function answer(
    request: WorkerRequest,
    socket: Socket,
    outgoing: ServerResponse,
  ): void {
    const {attemptId} = request;
    const body = Buffer.alloc(options.bodyBytes(request), 'x');
    const headers = answerHeaders(attemptId, body.length);
    const lines = Object.entries(headers).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    const head = `HTTP/1.1 200 OK\r\n${lines.join('')}`;
    if (options.spoil?.(request, socket, head, body)) {
      return;
    }
    outgoing.writeHead(200, headers);
    outgoing.end(body);
  }

  function answerHeaders(
    attemptId: string,
    bytes: number,
  ): Readonly<Record<string, string>> {
    return {
      'X-Ibisbeam-Attempt-Id': attemptId,
      'X-Ibisbeam-Response-Seal': `seal.${id}.${attemptId}.${bytes}`,
      'X-Ibisbeam-Server-Load': loadText(),
      'Content-Length': String(bytes),
    };
  }

  function closeConnections(): void {
    for (const socket of sockets) {
      socket.destroy();
    }
  }

  await new Promise<void>(resolve => {
    server.listen(0, HOST, resolve);
  });
  const {port} = server.address() as AddressInfo;

  return {
    id,
    runs,
    entry: () => ({
      service: options.service,
      address: `${HOST}:${port}`,
      zone: options.zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
      born: 1_700_000_000_000,
    }),
    close: () => {
      server.close();
      closeConnections();
    },
  };
}

function headerOf(incoming: IncomingMessage, name: string): string | undefined {
  const value = incoming.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
