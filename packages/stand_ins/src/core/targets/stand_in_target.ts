/**
 * Target on loopback. `GET /packs/<bytes>` returns that many bytes, any other
 * path a short JSON document. Methods other than GET and HEAD count as runs of
 * the operation identified by their Idempotency-Key.
 */
import {type Server, createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {type TimerService, readAllHeaderLines} from '@ibisbeam/library';
import Koa, {type Context} from 'koa';
import type {
  ReceivedRequest,
  StandInTarget,
  TargetEvent,
  TargetFaults,
  TargetObserver,
} from './types.js';

const MAXIMUM_RECORDED_REQUESTS = 100;
const PACK_PATTERN = /^\/packs\/(\d+)$/;
const PACK_CHUNK_BYTES = 65_536;
/** Longer than a keep-alive client is idle between two requests. */
const KEEP_ALIVE_TIMEOUT_MS = 10_000;

export interface StandInTargetOptions {
  readonly id: string;
  readonly slots: number;
  readonly timers: Pick<TimerService, 'sleep'>;
  /** A free port by default. */
  readonly port?: number;
  readonly observe?: TargetObserver;
}

export async function startStandInTarget(
  options: StandInTargetOptions,
): Promise<StandInTarget> {
  const {id, slots, timers} = options;
  const runsByKey = new Map<string, number>();
  const received: ReceivedRequest[] = [];
  let runs = 0;
  let inFlight = 0;
  let cancelled = 0;
  let heldRequests: (() => void)[] = [];

  const faults: TargetFaults = {
    delayMs: 0,
    closeMidBody: 0,
    closeBeforeAnswer: 0,
    shed: false,
    leaving: false,
    hold: false,
    reportedInFlight: undefined,
    echoedRequestId: undefined,
    crashOnPath: undefined,
    extraHeaders: {},
    rawAnswer: undefined,
  };

  const application = new Koa();
  application.silent = true;
  application.use(handle);
  let server = await listen(application, options.port ?? 0);
  const {port} = server.address() as AddressInfo;

  async function handle(context: Context): Promise<void> {
    if (context.path === '/health') {
      context.body = {
        healthy: true,
        leaving: faults.leaving,
        inFlight: faults.reportedInFlight ?? inFlight,
        slots,
      };
      return;
    }
    context.respond = false;
    inFlight += 1;
    emitEvent('entered', context);
    context.res.once('close', () => {
      inFlight -= 1;
      emitEvent('left', context);
      if (!context.res.writableFinished) {
        cancelled += 1;
      }
    });
    await serve(context);
  }

  async function serve(context: Context): Promise<void> {
    const {res} = context;
    recordRequest(context);
    const body = await readText(context);
    res.setHeader(
      'ibisbeam-request-id',
      faults.echoedRequestId ?? context.get('ibisbeam-request-id'),
    );
    for (const [name, value] of Object.entries(faults.extraHeaders)) {
      res.setHeader(name, value);
    }
    if (faults.leaving) {
      res.setHeader('ibisbeam-leaving', 'true');
    }
    if (faults.shed) {
      res.writeHead(503, {'ibisbeam-outcome': 'not-run', 'retry-after': '1'});
      res.end();
      return;
    }
    if (faults.crashOnPath && context.path.includes(faults.crashOnPath)) {
      await crash();
      return;
    }
    const run = countRun(context);
    if (faults.rawAnswer !== undefined) {
      const identifier = context.get('ibisbeam-request-id');
      res.socket?.write(faults.rawAnswer.replace('REQUEST', identifier));
      return;
    }
    await applyDelays();
    if (res.destroyed) {
      return;
    }
    if (faults.closeBeforeAnswer > 0) {
      faults.closeBeforeAnswer -= 1;
      res.destroy();
      return;
    }
    await answer(context, run, body);
  }

  function emitEvent(kind: TargetEvent['kind'], context: Context): void {
    const request = context.get('ibisbeam-request-id');
    options.observe?.({kind, target: id, request});
  }

  function recordRequest(context: Context): void {
    const {method, url, headers} = context;
    received.push({method, path: url, headers});
    if (received.length > MAXIMUM_RECORDED_REQUESTS) {
      received.shift();
    }
  }

  /** @returns Number of runs of the operation so far, or 0 for a read. */
  function countRun(context: Context): number {
    emitEvent('run-started', context);
    runs += 1;
    const key = context.get('idempotency-key');
    if (!key || context.method === 'GET' || context.method === 'HEAD') {
      return 0;
    }
    const run = (runsByKey.get(key) ?? 0) + 1;
    runsByKey.set(key, run);
    return run;
  }

  async function applyDelays(): Promise<void> {
    if (faults.delayMs > 0) {
      await timers.sleep(faults.delayMs);
    }
    if (faults.hold) {
      await new Promise<void>(resolve => {
        heldRequests.push(resolve);
      });
    }
  }

  async function answer(
    context: Context,
    run: number,
    body: string,
  ): Promise<void> {
    const pack = PACK_PATTERN.exec(context.path);
    if (pack) {
      await answerPack(context, Number(pack[1]));
      return;
    }
    const text = JSON.stringify({
      target: id,
      path: context.url,
      ...(run > 0 ? {run, received: body} : {}),
    });
    context.res.writeHead(run > 0 ? 201 : 200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    if (consumeMidBodyFault()) {
      context.res.write(text.slice(0, text.length / 2));
      setImmediate(() => context.res.destroy());
      return;
    }
    context.res.end(context.method === 'HEAD' ? undefined : text);
  }

  async function answerPack(context: Context, bytes: number): Promise<void> {
    const {res} = context;
    res.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': bytes,
    });
    const end = consumeMidBodyFault() ? Math.floor(bytes / 2) : bytes;
    try {
      await pipeline(Readable.from(packChunks(end)), res, {
        end: end === bytes,
      });
      if (end !== bytes) {
        res.destroy();
      }
    } catch {
      // The caller disconnected; the close handler counts the cancellation.
    }
  }

  function consumeMidBodyFault(): boolean {
    if (faults.closeMidBody <= 0) {
      return false;
    }
    faults.closeMidBody -= 1;
    return true;
  }

  function release(): void {
    faults.hold = false;
    for (const resume of heldRequests.splice(0)) {
      resume();
    }
  }

  async function crash(): Promise<void> {
    const closed = close(server);
    server.closeAllConnections();
    heldRequests = [];
    await closed;
  }

  return {
    address: `127.0.0.1:${port}`,
    faults,
    runsByKey: () => runsByKey,
    runs: () => runs,
    inFlight: () => inFlight,
    cancelled: () => cancelled,
    received: () => received,
    release,
    crash,
    restart: async () => {
      server = await listen(application, port);
    },
    stop: async () => {
      release();
      await crash();
    },
  };
}

async function listen(application: Koa, port: number): Promise<Server> {
  const server = readAllHeaderLines(
    createServer(
      {keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS},
      application.callback(),
    ),
  );
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  return server;
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
  });
}

async function readText(context: Context): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of context.req) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function* packChunks(bytes: number): Generator<Buffer> {
  const whole = Buffer.alloc(PACK_CHUNK_BYTES, 'ibisbeam ');
  for (let sent = 0; sent < bytes; sent += PACK_CHUNK_BYTES) {
    yield whole.subarray(0, Math.min(PACK_CHUNK_BYTES, bytes - sent));
  }
}
