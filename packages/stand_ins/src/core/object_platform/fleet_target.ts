/**
 * Stand-in worker of the users' platform with slots, a queue, warm affinity
 * keys and injectable faults. It writes responses to the socket directly, since
 * some faults need bytes that an HTTP library would not send.
 */
import {
  type IncomingHttpHeaders,
  type IncomingMessage,
  createServer,
} from 'node:http';
import {type AddressInfo, type Socket, Server as NetServer} from 'node:net';
import {type TimerService, readAllHeaderLines} from '@ibisbeam/library';
import {
  type EndlessAnswer,
  buildEndlessAnswer,
  isEndlessAnswer,
  writeEndless,
} from './endless_bytes.js';
import type {LimitStatement, TargetArrival} from './rate_limit_rule.js';
import type {LeavingStatement, PauseStatement} from './target_signal_rules.js';

/** Fault applied to one request. */
export type TargetFault =
  | 'none'
  /** Runs the request and resets the connection. */
  | 'answer-lost'
  /** Sends a second response directly after the first. */
  | 'extra-answer'
  /** Sends a second response 20 ms after the first. */
  | 'extra-answer-late'
  /** As `extra-answer-late`, without an attempt id in the second response. */
  | 'extra-answer-unnamed'
  /** Ends the response before its Content-Length. */
  | 'cut-short'
  /** Sends no Content-Length and resets the connection after the body. */
  | 'unframed-reset'
  /** As `unframed-reset`; the reset arrives together with the last bytes. */
  | 'unframed-reset-at-once'
  /** As `unframed-reset`; the reset follows 20 ms after the last bytes. */
  | 'unframed-reset-later'
  /** Sends no Content-Length and closes the connection gracefully. */
  | 'unframed'
  /** Sends bytes that are not an HTTP response. */
  | 'not-http'
  /** Responds with a space in the name of a header. */
  | 'malformed-header'
  | 'error-500'
  /** Refuses with 503 and states that the request was not executed. */
  | 'shed'
  /** Responds with the attempt id of another request. */
  | 'foreign'
  /** Responds before the request body has arrived. */
  | 'early'
  /** Runs the request and sends no response. */
  | 'silent'
  /** Sends bytes without end in place of the response. */
  | EndlessAnswer;

export interface TargetRun {
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** Affinity key. */
  readonly key: string | undefined;
  readonly deadlineMs: number;
  /** Start of the run on the monotonic clock of the timer service. */
  readonly atMs: number;
  /** Whether the connection closed before the run ended. */
  cancelled: boolean;
  readonly fault: TargetFault;
  /** Headers as received, by lower-case name. */
  readonly headers: IncomingHttpHeaders;
}

/** A request that ends the target in the middle of its work. */
export interface CrashingRequest {
  readonly path: string;
  /**
   * What becomes of open connections: `break` closes them; `hang` keeps them
   * open without an answer. New ones are refused.
   */
  readonly connections: 'break' | 'hang';
  /** Whether the target goes on when the connection of the request is closed. */
  readonly outlivesConnection: boolean;
  /** Bytes of the answer that the target sends before. Default: 0. */
  readonly bytesBefore?: number;
  /** Whether the request crashes targets for this caller. Default: for all. */
  crashesFor?(attemptId: string): boolean;
}

export interface FleetTarget {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  /** Returns the entry of the target in the store, with the given changes. */
  entry(changes?: Readonly<Record<string, unknown>>): Record<string, unknown>;
  readonly runs: readonly TargetRun[];
  /** Requests that reached the target, whether it ran them or not. */
  readonly arrivals: readonly TargetArrival[];
  readonly limitStatements: readonly LimitStatement[];
  /** Answers that said that the target is leaving. */
  readonly leavingStatements: readonly LeavingStatement[];
  /** Refusals that asked for a pause. */
  readonly pauseStatements: readonly PauseStatement[];
  /** Number of connections so far that have brought a request. */
  readonly connectionCount: () => number;
  /** Number of connections that are open now. */
  readonly openConnections: () => number;
  /** Queues faults for the next requests, one each. */
  plan(...faults: readonly TargetFault[]): void;
  /**
   * Applies a fault to each of the next requests on this path. Several targets may
   * take theirs from one list.
   */
  planFor(path: string, faults: TargetFault[]): void;
  /** Applies these faults in turn to all requests that no other is planned for. */
  setLastingFaults(faults: readonly TargetFault[]): void;
  setWorkMs(workMs: number): void;
  /**
   * States the limit in all answers from now on. The target does not enforce
   * it.
   *
   * @param perSecond Requests per second of all VMs; undefined for no limit.
   */
  setRateLimit(perSecond: number | undefined): void;
  /** Whether all answers from now on say that the target is leaving. */
  setLeaving(isLeaving: boolean): void;
  /** Refuses all requests for this time, each until the end of it. */
  pauseFor(spanMs: number): void;
  /** Refuses the next request with this value of Retry-After. */
  refuseNext(retryAfter: string): void;
  /** Answers requests on this path with so many bytes. */
  setLargeAnswer(path: string, bytes: number): void;
  setCrashingRequest(request: CrashingRequest): void;
  /** Refuses connections from now on and answers nothing on open ones. */
  fallSilent(): void;
  /** When a request ended it, on the clock of the timer service; undefined if not. */
  crashedAtMs(): number | undefined;
  close(): Promise<void>;
}

export interface FleetTargetOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly timers: TimerService;
  /** Service time of a request whose affinity key is not warm. */
  readonly workMs?: number;
  /** Fraction of `workMs` that a request with a warm key takes. */
  readonly warmWorkFraction?: number;
  readonly queueLength?: number;
  readonly bodyBytes?: number;
  /** Start time of the target, stated in its store entry. */
  readonly bornMs?: number;
  readonly host?: string;
}

const EXTRA_ANSWER_DELAY_MS = 20;
const EVENT_LOOP_BLOCK_MS = 20;
/** Lets bytes that were written before a crash leave. */
const CRASH_DELAY_MS = 5;
const DEFAULT_WORK_MS = 5;
const DEFAULT_BODY_BYTES = 20;
const DEFAULT_BORN_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
const MILLISECONDS_PER_SECOND = 1_000;

export async function startFleetTarget(
  options: FleetTargetOptions,
): Promise<FleetTarget> {
  const {id, timers, slots} = options;
  const host = options.host ?? '127.0.0.1';
  const runs: TargetRun[] = [];
  const arrivals: TargetArrival[] = [];
  const limitStatements: LimitStatement[] = [];
  const leavingStatements: LeavingStatement[] = [];
  const pauseStatements: PauseStatement[] = [];
  const faults: TargetFault[] = [];
  const faultsByPath = new Map<string, TargetFault[]>();
  let lastingFaults: readonly TargetFault[] = [];
  /** Values of Retry-After for the next refusals. */
  const refusals: string[] = [];
  const warm = new Set<string>();
  const queue: (() => void)[] = [];
  const sockets = new Set<Socket>();
  let running = 0;
  let workMs = options.workMs ?? DEFAULT_WORK_MS;
  const usedSockets = new WeakSet<Socket>();
  let connections = 0;
  let rateLimit: number | undefined;
  let isLeaving = false;
  let pausedUntilMs = -Infinity;
  const largeAnswers = new Map<string, number>();
  let crashingRequest: CrashingRequest | undefined;
  let crashedAtMs: number | undefined;
  let isSilent = false;

  const server = createServer((incoming, outgoing) => {
    if (isSilent) {
      return;
    }
    if (!usedSockets.has(incoming.socket)) {
      usedSockets.add(incoming.socket);
      connections += 1;
    }
    const chunks: Buffer[] = [];
    const expected = header(incoming, 'x-ibisbeam-expect-instance');
    const attemptId = header(incoming, 'x-ibisbeam-attempt-id') ?? '';
    if (incoming.url === '/health') {
      outgoing.writeHead(200, {'X-Ibisbeam-Instance-Id': id});
      outgoing.end();
      return;
    }
    if (expected !== undefined && expected !== id) {
      writeRefusal(incoming.socket, 421, {
        'X-Ibisbeam-Instance-Id': id,
        'X-Ibisbeam-Attempt-Id': attemptId,
        ...leavingHeader(),
      });
      return;
    }
    arrivals.push({attemptId, atMs: timers.nowMs()});
    const ownFaults = faultsByPath.get(incoming.url ?? '') ?? faults;
    const fault =
      ownFaults.shift() ??
      lastingFaults[arrivals.length % lastingFaults.length] ??
      'none';
    if (fault === 'early') {
      writeAnswer(incoming.socket, 'early', attemptId);
      return;
    }
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const full = running >= slots && queue.length >= queueLimit();
      const retryAfter = takeRetryAfter(attemptId);
      if (fault === 'shed' || full || retryAfter !== undefined) {
        writeRefusal(incoming.socket, 503, {
          'X-Ibisbeam-Not-Executed': '1',
          'X-Ibisbeam-Attempt-Id': attemptId,
          ...statementHeaders(attemptId),
          ...(retryAfter === undefined ? {} : {'Retry-After': retryAfter}),
        });
        return;
      }
      const body = Buffer.concat(chunks).toString('utf8');
      enqueue(() => run(incoming, fault, attemptId, body));
    });
  });

  function rateLimitHeader(
    attemptId: string,
  ): Readonly<Record<string, string>> {
    if (rateLimit === undefined) {
      return {};
    }
    limitStatements.push({
      attemptId,
      perSecond: rateLimit,
      atMs: timers.nowMs(),
    });
    return {'Server-Limit': String(rateLimit)};
  }

  function leavingHeader(): Readonly<Record<string, string>> {
    return isLeaving ? {'Server-Leaving': '1'} : {};
  }

  /** What the target says of itself in each of its answers. */
  function statementHeaders(
    attemptId: string,
  ): Readonly<Record<string, string>> {
    if (isLeaving) {
      leavingStatements.push({attemptId, atMs: timers.nowMs()});
    }
    return {...rateLimitHeader(attemptId), ...leavingHeader()};
  }

  /** Value of Retry-After if the request is refused because of a pause. */
  function takeRetryAfter(attemptId: string): string | undefined {
    const nowMs = timers.nowMs();
    const leftMs = pausedUntilMs - nowMs;
    const planned = refusals.shift();
    const retryAfter =
      planned ??
      (leftMs > 0 ? (leftMs / MILLISECONDS_PER_SECOND).toFixed(3) : undefined);
    const pauseMs = Number(retryAfter) * MILLISECONDS_PER_SECOND;
    if (pauseMs > 0) {
      pauseStatements.push({attemptId, atMs: nowMs, pauseMs});
    }
    return retryAfter;
  }

  function queueLimit(): number {
    return options.queueLength ?? slots * 3;
  }

  function enqueue(start: () => void): void {
    if (running < slots) {
      running += 1;
      start();
      return;
    }
    queue.push(start);
  }

  function release(): void {
    const next = queue.shift();
    if (next) {
      next();
      return;
    }
    running -= 1;
  }

  function run(
    incoming: IncomingMessage,
    fault: TargetFault,
    attemptId: string,
    body: string,
  ): void {
    const key = header(incoming, 'x-ibisbeam-affinity-key');
    const isWarm = key !== undefined && warm.has(key);
    const record: TargetRun = {
      attemptId,
      method: incoming.method ?? '',
      path: incoming.url ?? '',
      body,
      key,
      deadlineMs: Number(header(incoming, 'x-ibisbeam-deadline-ms')),
      atMs: timers.nowMs(),
      cancelled: false,
      fault,
      headers: incoming.headers,
    };
    runs.push(record);
    if (key !== undefined) {
      warm.add(key);
    }
    const serviceTimeMs = isWarm
      ? workMs * (options.warmWorkFraction ?? 1)
      : workMs;
    const crash = crashOf(record);
    const timer = timers.after(serviceTimeMs, () => {
      incoming.socket.removeListener('close', onClose);
      if (isSilent) {
        return;
      }
      if (crash) {
        writeBeginning(incoming.socket, attemptId, crash.bytesBefore ?? 0);
        timers.after(CRASH_DELAY_MS, () => endBy(crash));
        return;
      }
      if (isEndlessAnswer(fault)) {
        incoming.socket.once('close', release);
        writeEndless(
          incoming.socket,
          buildEndlessAnswer(fault, formatHeaders(attemptId)),
          timers,
        );
        return;
      }
      release();
      writeAnswer(
        incoming.socket,
        fault,
        attemptId,
        largeAnswers.get(record.path),
      );
    });

    function onClose(): void {
      record.cancelled = true;
      if (crash?.outlivesConnection) {
        return;
      }
      timer.cancel();
      release();
    }

    incoming.socket.once('close', onClose);
  }

  function crashOf({path, attemptId}: TargetRun): CrashingRequest | undefined {
    if (crashingRequest?.path !== path) {
      return undefined;
    }
    const crashes = crashingRequest.crashesFor?.(attemptId) ?? true;
    return crashes ? crashingRequest : undefined;
  }

  function writeBeginning(
    socket: Socket,
    attemptId: string,
    bytes: number,
  ): void {
    if (bytes > 0) {
      const answer = formatAnswer(200, attemptId, 'x'.repeat(bytes));
      socket.write(answer.slice(0, -1));
    }
  }

  function endBy(crash: CrashingRequest): void {
    crashedAtMs = timers.nowMs();
    switch (crash.connections) {
      case 'break':
        void close();
        return;
      case 'hang':
        fallSilent();
        return;
    }
  }

  function fallSilent(): void {
    isSilent = true;
    // The method of http.Server closes idle connections as well.
    NetServer.prototype.close.call(server);
  }

  function writeAnswer(
    socket: Socket,
    fault: Exclude<TargetFault, EndlessAnswer>,
    attemptId: string,
    bodyBytes = options.bodyBytes ?? DEFAULT_BODY_BYTES,
  ): void {
    const text = 'x'.repeat(bodyBytes);
    const fullAnswer = formatAnswer(200, attemptId, text);
    switch (fault) {
      case 'none':
      case 'shed':
      case 'early':
        socket.write(fullAnswer);
        return;
      case 'answer-lost':
        socket.resetAndDestroy();
        return;
      case 'extra-answer':
        socket.write(fullAnswer + formatAnswer(200, 'another', text));
        return;
      case 'extra-answer-late':
        socket.write(fullAnswer);
        timers.after(EXTRA_ANSWER_DELAY_MS, () => {
          if (!socket.destroyed) {
            socket.write(formatAnswer(200, 'another', text));
          }
        });
        return;
      case 'extra-answer-unnamed':
        socket.write(fullAnswer);
        timers.after(EXTRA_ANSWER_DELAY_MS, () => {
          if (!socket.destroyed) {
            socket.write('HTTP/1.1 200 Answer\r\nContent-Length: 1\r\n\r\nx');
          }
        });
        return;
      case 'cut-short':
        socket.end(fullAnswer.slice(0, -5));
        return;
      case 'unframed-reset':
        socket.write(formatAnswer(200, attemptId, text, false), () =>
          socket.resetAndDestroy(),
        );
        return;
      case 'unframed-reset-at-once':
        socket.write(formatAnswer(200, attemptId, text, false), () => {
          socket.resetAndDestroy();
          blockEventLoop(EVENT_LOOP_BLOCK_MS);
        });
        return;
      case 'unframed-reset-later':
        socket.write(formatAnswer(200, attemptId, text, false));
        timers.after(EXTRA_ANSWER_DELAY_MS, () => socket.resetAndDestroy());
        return;
      case 'unframed':
        socket.end(formatAnswer(200, attemptId, text, false));
        return;
      case 'not-http':
        socket.end('this is not an HTTP response\r\n\r\n');
        return;
      case 'malformed-header':
        socket.end('HTTP/1.1 200 OK\r\nX-Name : value\r\n\r\n');
        return;
      case 'error-500':
        socket.write(formatAnswer(500, attemptId, 'failed'));
        return;
      case 'foreign':
        socket.write(formatAnswer(200, 'another', text));
        return;
      case 'silent':
        return;
    }
  }

  /**
   * Writes to the socket as all answers do: `node:http` would hold a response
   * back until those before it on the connection have ended.
   */
  function writeRefusal(
    socket: Socket,
    status: number,
    headers: Readonly<Record<string, string>>,
  ): void {
    const lines = [`HTTP/1.1 ${status} Refused`];
    for (const [name, value] of Object.entries(headers)) {
      lines.push(`${name}: ${value}`);
    }
    lines.push('Content-Length: 0');
    socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  }

  /** Blocks the event loop so that the process reads no arrived data. */
  function blockEventLoop(spanMs: number): void {
    const endsMs = timers.nowMs() + spanMs;
    while (timers.nowMs() < endsMs) {
      // Busy-wait.
    }
  }

  function formatAnswer(
    status: number,
    attemptId: string,
    text: string,
    framed = true,
  ): string {
    const head = `HTTP/1.1 ${status} Answer\r\n${formatHeaders(attemptId)}`;
    const length = framed ? `Content-Length: ${text.length}\r\n` : '';
    return `${head}${length}\r\n${text}`;
  }

  function formatHeaders(attemptId: string): string {
    const lines = [
      `X-Ibisbeam-Attempt-Id: ${attemptId}`,
      `X-Ibisbeam-Response-Seal: seal-${id}-${attemptId}`,
      `X-Ibisbeam-Server-Load: ${running},${queue.length},${slots}`,
      'Keep-Alive: timeout=10',
      ...Object.entries(statementHeaders(attemptId)).map(
        ([name, value]) => `${name}: ${value}`,
      ),
    ];
    return `${lines.join('\r\n')}\r\n`;
  }

  readAllHeaderLines(server);
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>(resolve => {
    server.listen(0, host, resolve);
  });
  const {port} = server.address() as AddressInfo;

  return {
    id,
    host,
    port,
    entry: (changes = {}) => ({
      service: options.service,
      address: `${host}:${port}`,
      zone: options.zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
      born: options.bornMs ?? DEFAULT_BORN_MS,
      ...changes,
    }),
    runs,
    arrivals,
    limitStatements,
    leavingStatements,
    pauseStatements,
    connectionCount: () => connections,
    openConnections: () => sockets.size,
    plan: (...planned) => {
      faults.push(...planned);
    },
    planFor: (path, planned) => {
      faultsByPath.set(path, planned);
    },
    setLastingFaults: next => {
      lastingFaults = next;
    },
    setWorkMs: next => {
      workMs = next;
    },
    setRateLimit: perSecond => {
      rateLimit = perSecond;
    },
    setLeaving: next => {
      isLeaving = next;
    },
    pauseFor: spanMs => {
      pausedUntilMs = timers.nowMs() + spanMs;
    },
    refuseNext: retryAfter => {
      refusals.push(retryAfter);
    },
    setLargeAnswer: (path, bytes) => {
      largeAnswers.set(path, bytes);
    },
    setCrashingRequest: request => {
      crashingRequest = request;
    },
    fallSilent,
    crashedAtMs: () => crashedAtMs,
    close,
  };

  function close(): Promise<void> {
    return new Promise(resolve => {
      server.close(() => resolve());
      for (const socket of sockets) {
        socket.destroy();
      }
    });
  }
}

function header(incoming: IncomingMessage, name: string): string | undefined {
  const value = incoming.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
