/**
 * One attempt of a request at one target, with a single outcome. Short
 * responses are buffered completely, so that a broken one can be retried at
 * another target; whether longer ones are, the owner of the attempt decides.
 */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from 'node:http';
import type {Socket} from 'node:net';
import {
  type AttemptOutcome,
  type LoadReport,
  type LongAnswer,
  type LongAnswerDelivery,
  MAXIMUM_FIRST_BYTE_DELAY_MS,
} from '@ibisbeam/decision';
import {
  type AnswerHeadFault,
  type TimerHandle,
  type TimerService,
  createPieceBuffer,
  findAnswerHeadProblem,
  headerValues,
  readAllHeaderLines,
} from '@ibisbeam/library';
import type {GatewayProtocol} from '../core/protocol.js';
import {
  type AnswerFault,
  type AnswerInput,
  readAnswer,
} from './answer_input.js';
import type {HeldMemory, RequestMemory} from './held_memory.js';
import type {SendScheduler} from './send_scheduler.js';

/**
 * A response whose head has arrived. A short body is complete; of a longer one,
 * the first chunks are buffered and the rest is read from the stream.
 */
export interface TargetResponse {
  readonly status: number;
  /** Flat list of names and values. */
  readonly rawHeaders: readonly string[];
  readonly body:
    | {
        readonly kind: 'whole';
        readonly chunks: readonly Buffer[];
        readonly byteCount: number;
      }
    | {
        readonly kind: 'streaming';
        readonly bufferedChunks: readonly Buffer[];
        readonly bufferedBytes: number;
        /** Memory that was counted for them. */
        readonly heldBytes: number;
        readonly stream: IncomingMessage;
      };
}

export interface AnswerHead {
  readonly status: number;
  /** Flat list of names and values. */
  readonly rawHeaders: readonly string[];
}

export type AnswerProgress = Pick<
  LongAnswer,
  'heldBytes' | 'statedBytes' | 'heldMs'
>;

export interface AttemptRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly attemptId: string | undefined;
  /** Counts what is held of the answer, and keeps the body. */
  readonly memory: Pick<RequestMemory, 'add' | 'give' | 'useBody'>;
  /** Asked for each part of a long answer. */
  decideLongAnswer(progress: AnswerProgress): LongAnswerDelivery;
  readonly agent: Agent;
  readonly connectTimeoutMs: number;
}

export interface AttemptEvents {
  /** A new or pooled connection was assigned to this attempt. */
  onSocket(socket: Socket): void;
  /**
   * Asked when the connection is established: why the target is not to get the
   * request after all; undefined if it is.
   */
  withheldBecause(): string | undefined;
  /** The connection is established; the target may now run the request. */
  onSent(reusedConnection: boolean): void;
  onLoadReport(report: LoadReport): void;
  /**
   * The target has answered this request.
   *
   * @param perSecond The rate limit that it states; undefined without one.
   */
  onRateLimit(perSecond: number | undefined): void;
  /** As `onRateLimit`, with all that the target says. */
  onAnswer(head: AnswerHead): void;
  onResponseHead(request: ClientRequest, response: IncomingMessage): void;
  /** The last byte of the answer has been read from its connection. */
  onAnswerComplete(socket: Socket): void;
  /** The connection is closed for an answer after that to the request. */
  onFurtherAnswer(): void;
  /**
   * The answer is read no further because of what it is made of; the attempt,
   * or the stream that it has become, fails.
   *
   * @param bytes What has been read of it.
   */
  onRefused(fault: AnswerFault, bytes: number): void;
  /** Called once, unless the attempt is cancelled first. */
  onEnd(outcome: AttemptOutcome, response?: TargetResponse): void;
}

export interface AttemptDependencies {
  readonly timers: Pick<TimerService, 'after' | 'nowMs'>;
  readonly sendScheduler: Pick<SendScheduler, 'schedule'>;
  readonly heldMemory: Pick<HeldMemory, 'bufferedAnswerBytes'>;
}

export interface TargetAttempt {
  /** Ends the attempt and closes its connection. */
  cancel(): void;
  /**
   * Decides once more on a long answer that is held, unless its target is silent.
   * Call it when what the decision depends on has changed.
   *
   * @returns Whether the answer has been passed on.
   */
  reviewLongAnswer(): boolean;
}

/** Silence of a target after which it is taken to send no more. */
export const TARGET_SILENCE_MS = 250;
/** What the connection of a paused stream may hold: one read of it. */
const PAUSED_STREAM_BYTES = 65_536;

const REFUSAL_CAUSES: Readonly<Record<AnswerFault, string>> = {
  'interim-answers': 'too many interim answers',
  'blank-lines': 'blank lines in place of an answer',
  'long-head': 'the head of the answer is too long',
  'short-pieces': 'the answer is too short for its framing',
  'long-body': 'the answer is longer than it states',
  malformed: 'the answer is malformed',
  unexpected: 'bytes after the end of the answer',
};

const REFUSED_HEADS: Readonly<
  Record<Exclude<AnswerHeadFault, 'foreign'>, AnswerFault>
> = {
  'interim-status': 'interim-answers',
  'impossible-status': 'malformed',
  'malformed-name': 'malformed',
  'unknown-framing': 'malformed',
};

/** Starts an attempt, which reports its outcome to `events.onEnd`. */
export function startTargetAttempt(
  request: AttemptRequest,
  protocol: Pick<
    GatewayProtocol,
    'headers' | 'readLoadReport' | 'readRateLimit'
  >,
  dependencies: AttemptDependencies,
  events: AttemptEvents,
): TargetAttempt {
  const {timers, sendScheduler, heldMemory} = dependencies;
  let outgoing: ClientRequest;
  try {
    outgoing = createRequest(request);
  } catch (error) {
    return endAsUnsendable(error, dependencies, events);
  }
  let ended = false;
  let sent = false;
  let connectTimer: TimerHandle | undefined;
  let streamedResponse: IncomingMessage | undefined;
  let connection: Socket | undefined;
  let input: AnswerInput | undefined;
  let isRefused = false;
  /** Memory of an answer that has not been passed on. */
  let heldBytes = 0;
  let reviewTimer: TimerHandle | undefined;
  let reviewLongAnswer = (): boolean => false;

  function end(outcome: AttemptOutcome, response?: TargetResponse): void {
    if (ended) {
      return;
    }
    ended = true;
    connectTimer?.cancel();
    reviewTimer?.cancel();
    if (response?.body.kind !== 'streaming') {
      connection?.removeListener('end', onConnectionEnd);
    }
    events.onEnd(outcome, response);
  }

  /**
   * If data and a reset arrive together, libuv reports the end of the stream
   * instead of the reset, and a response without a length would look complete.
   * A connection that was reset has no remote address.
   */
  function onConnectionEnd(): void {
    if (connection?.remoteAddress !== undefined) {
      return;
    }
    const reset = new Error('the connection was reset');
    fail(reset.message);
    streamedResponse?.destroy(reset);
  }

  function fail(cause: string): void {
    if (ended) {
      return;
    }
    giveHeldBytes();
    end(
      sent
        ? {kind: 'broken', cause, ...(isRefused && {isRefused})}
        : {kind: 'not-sent', cause},
    );
    outgoing.destroy();
  }

  /** @param cause Why the attempt fails. */
  function refuse(fault: AnswerFault, cause = REFUSAL_CAUSES[fault]): void {
    if (isRefused || (ended && !streamedResponse)) {
      return;
    }
    isRefused = true;
    events.onRefused(fault, input?.readBytes() ?? 0);
    fail(cause);
    streamedResponse?.destroy(createRefusal(cause));
  }

  function giveHeldBytes(): void {
    request.memory.give(heldBytes);
    heldBytes = 0;
  }

  function send(): void {
    if (sent || ended) {
      return;
    }
    const cause = events.withheldBecause();
    if (cause !== undefined) {
      end({kind: 'withheld', cause});
      outgoing.destroy();
      return;
    }
    sent = true;
    beginInput();
    events.onSent(outgoing.reusedSocket);
    const endUse = request.memory.useBody();
    outgoing.once('finish', endUse);
    outgoing.once('close', endUse);
    outgoing.end(request.body);
  }

  function beginInput(): void {
    const socket = connection;
    if (!socket) {
      return;
    }
    input = readAnswer(socket, {
      onRefused: refuse,
      onComplete: () => events.onAnswerComplete(socket),
      onFurtherAnswer: () => {
        if (!isRefused) {
          events.onFurtherAnswer();
        }
      },
    });
  }

  function onConnect(): void {
    connectTimer?.cancel();
    sendScheduler.schedule(send);
  }

  function onSocket(socket: Socket): void {
    events.onSocket(socket);
    connection = socket;
    // Runs before the listener of node:http, which completes the response.
    socket.prependListener('end', onConnectionEnd);
    if (!socket.connecting) {
      send();
      return;
    }
    socket.once('connect', onConnect);
    connectTimer = timers.after(request.connectTimeoutMs, () =>
      fail('no connection in time'),
    );
  }

  function onResponse(response: IncomingMessage): void {
    const {
      attemptId: attemptIdName,
      loadReport,
      notExecuted,
      rateLimit,
    } = protocol.headers;
    const status = response.statusCode ?? 0;
    const problem = findAnswerHeadProblem(response, {
      header: attemptIdName,
      identifier: request.attemptId,
      // On a connection that is in use again, it may answer an earlier request.
      isRequired: request.attemptId !== undefined,
    });
    if (problem && problem.fault !== 'foreign') {
      refuse(REFUSED_HEADS[problem.fault], problem.cause);
      return;
    }
    const [loadHeader] = headerValues(response.rawHeaders, loadReport);
    const report = loadHeader ? protocol.readLoadReport(loadHeader) : undefined;
    if (report) {
      events.onLoadReport(report);
    }
    if (problem) {
      fail(problem.cause);
      return;
    }
    events.onResponseHead(outgoing, response);
    input?.onHead(response);
    if (status !== 421) {
      const [limitHeader] = headerValues(response.rawHeaders, rateLimit);
      events.onRateLimit(
        limitHeader === undefined
          ? undefined
          : protocol.readRateLimit(limitHeader),
      );
      events.onAnswer({status, rawHeaders: response.rawHeaders});
    }
    const isNotExecuted =
      status === 421 ||
      headerValues(response.rawHeaders, notExecuted).length > 0;
    readBody(response, isNotExecuted, status);
  }

  function readBody(
    response: IncomingMessage,
    isNotExecuted: boolean,
    status: number,
  ): void {
    const held = createPieceBuffer();
    let lastBytesAtMs = timers.nowMs();
    let longSinceMs: number | undefined;
    const statedBytes = statedLength(response);

    function onData(chunk: Buffer): void {
      input?.onData(chunk.length);
      if (ended) {
        return;
      }
      held.append(chunk);
      request.memory.add(held.memoryBytes() - heldBytes);
      heldBytes = held.memoryBytes();
      lastBytesAtMs = timers.nowMs();
      passOnUnlessHeld();
    }

    function passOnUnlessHeld(): void {
      if (heldBytes <= heldMemory.bufferedAnswerBytes() || ended) {
        return;
      }
      const nowMs = timers.nowMs();
      longSinceMs ??= nowMs;
      const progress = {
        heldBytes,
        statedBytes,
        heldMs: nowMs - longSinceMs,
      };
      switch (request.decideLongAnswer(progress)) {
        case 'hold':
          reviewTimer ??= timers.after(MAXIMUM_FIRST_BYTE_DELAY_MS, () => {
            reviewTimer = undefined;
            passOnUnlessHeld();
          });
          return;
        case 'stream':
          passOn();
          return;
      }
    }

    function passOn(): void {
      response.pause();
      input?.onStream();
      request.memory.add(PAUSED_STREAM_BYTES);
      streamedResponse = response;
      response.removeListener('data', onData);
      response.removeListener('end', onEnd);
      end(
        {kind: 'answered', status},
        {
          status,
          rawHeaders: response.rawHeaders,
          body: {
            kind: 'streaming',
            bufferedBytes: held.byteCount(),
            bufferedChunks: held.take(),
            heldBytes,
            stream: response,
          },
        },
      );
    }

    function onEnd(): void {
      if (!response.complete) {
        fail('the answer was cut short');
        return;
      }
      const buffered: TargetResponse = {
        status,
        rawHeaders: response.rawHeaders,
        body: {
          kind: 'whole',
          byteCount: held.byteCount(),
          chunks: held.take(),
        },
      };
      if (isNotExecuted) {
        end({kind: 'not-executed', status}, buffered);
        return;
      }
      end({kind: 'answered', status}, buffered);
    }

    reviewLongAnswer = () => {
      const wasEnded = ended;
      if (timers.nowMs() - lastBytesAtMs < TARGET_SILENCE_MS) {
        passOnUnlessHeld();
      }
      return ended && !wasEnded;
    };
    response.on('data', onData);
    response.on('end', onEnd);
    response.on('error', error =>
      fail(`the answer broke off: ${error.message}`),
    );
    response.on('aborted', () => fail('the answer broke off'));
  }

  outgoing.on('socket', onSocket);
  outgoing.on('response', onResponse);
  outgoing.on('information', () => input?.onInterimAnswer());
  outgoing.on('error', error => {
    const fault = input?.faultOf(error);
    if (fault !== undefined) {
      refuse(fault, error.message);
    }
    fail(error.message);
    // A response delimited by its connection would otherwise look complete.
    streamedResponse?.destroy(error);
  });
  outgoing.on('close', () => fail('the connection was closed'));

  return {
    cancel: () => {
      ended = true;
      giveHeldBytes();
      connectTimer?.cancel();
      reviewTimer?.cancel();
      connection?.removeListener('end', onConnectionEnd);
      outgoing.destroy();
    },
    reviewLongAnswer: () => reviewLongAnswer(),
  };
}

const REFUSED_STREAM_CODE = 'ERR_ANSWER_REFUSED';

function createRefusal(cause: string): NodeJS.ErrnoException {
  return Object.assign(new Error(cause), {code: REFUSED_STREAM_CODE});
}

/** Whether a stream has ended because the VM reads it no further. */
export function isRefusal({code}: NodeJS.ErrnoException): boolean {
  return code === REFUSED_STREAM_CODE;
}

/** Returns the stream of a long answer. */
export function streamOf({body}: TargetResponse): IncomingMessage | undefined {
  return body.kind === 'streaming' ? body.stream : undefined;
}

/** Moves what has been read of the answer to memory that can be given back. */
export function keepUntilTurn(
  response: TargetResponse,
  memory: Pick<RequestMemory, 'keepAnswer'>,
): TargetResponse {
  const {body} = response;
  switch (body.kind) {
    case 'whole': {
      const chunks = memory.keepAnswer(body.chunks, body.byteCount);
      return {...response, body: {...body, chunks}};
    }
    case 'streaming': {
      const {bufferedChunks, bufferedBytes} = body;
      const chunks = memory.keepAnswer(bufferedChunks, bufferedBytes);
      return {...response, body: {...body, bufferedChunks: chunks}};
    }
  }
}

/** Length of the body as the head states it. */
function statedLength({headers}: IncomingMessage): number | undefined {
  const bytes = Number(headers['content-length'] ?? NaN);
  return Number.isFinite(bytes) ? bytes : undefined;
}

/** Throws if the address, the path or a header cannot be written. */
function createRequest(request: AttemptRequest): ClientRequest {
  return readAllHeaderLines(
    httpRequest({
      host: request.host,
      port: request.port,
      method: request.method,
      path: request.path,
      headers: request.headers as unknown as Record<string, string>,
      agent: request.agent,
      setHost: false,
    }),
  );
}

/** Reports the outcome asynchronously, like every other one. */
function endAsUnsendable(
  error: unknown,
  {sendScheduler}: AttemptDependencies,
  events: AttemptEvents,
): TargetAttempt {
  let isCancelled = false;
  sendScheduler.schedule(() => {
    if (!isCancelled) {
      events.onEnd({kind: 'unsendable', cause: String(error)});
    }
  });
  return {
    cancel: () => {
      isCancelled = true;
    },
    reviewLongAnswer: () => false,
  };
}
