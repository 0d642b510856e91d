/**
 * One attempt of a request at one target, with a single outcome. Short
 * responses are buffered completely, so that a broken one can be retried at
 * another target; longer ones are streamed.
 */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from 'node:http';
import type {Socket} from 'node:net';
import type {AttemptOutcome, LoadReport} from '@ibisbeam/decision';
import type {TimerHandle, TimerService} from '@ibisbeam/library';
import type {GatewayProtocol} from '../core/protocol.js';
import type {AnswerBounds} from '../core/settings.js';
import {headerValues} from './header_rules.js';
import {type EndlessCause, createResponseMeter} from './response_meter.js';
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
    | {readonly kind: 'whole'; readonly bytes: Buffer}
    | {
        readonly kind: 'streaming';
        readonly bufferedChunks: readonly Buffer[];
        readonly stream: IncomingMessage;
      };
}

export interface AttemptRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly attemptId: string | undefined;
  readonly agent: Agent;
  readonly connectTimeoutMs: number;
  readonly answerBounds: AnswerBounds;
}

/** A response that was broken off, or bytes after its end. */
export interface EndlessAnswer {
  readonly cause: EndlessCause;
  /** Bytes received, heads included. */
  readonly bytes: number;
  /** Whether the outcome of the attempt follows from it. */
  readonly decidesOutcome: boolean;
}

export interface AttemptEvents {
  /** A new or pooled connection was assigned to this attempt. */
  onSocket(socket: Socket): void;
  /** The connection is established; the target may now run the request. */
  onSent(reusedConnection: boolean): void;
  onLoadReport(report: LoadReport): void;
  /**
   * The target has answered this request.
   *
   * @param perSecond The rate limit that it states; undefined without one.
   */
  onRateLimit(perSecond: number | undefined): void;
  onResponseHead(request: ClientRequest, response: IncomingMessage): void;
  /** Called at most once, before the outcome that may follow from it. */
  onEndlessAnswer(answer: EndlessAnswer): void;
  /** Called once, unless the attempt is cancelled first. */
  onEnd(outcome: AttemptOutcome, response?: TargetResponse): void;
}

export interface AttemptDependencies {
  readonly timers: Pick<TimerService, 'after' | 'nowMs'>;
  readonly sendScheduler: Pick<SendScheduler, 'schedule'>;
}

export interface TargetAttempt {
  /**
   * Ends the attempt and closes its connection.
   *
   * @param isOverdue Whether the response should have ended by now; if it has
   *     been arriving for long, it counts as endless.
   */
  cancel(isOverdue?: boolean): void;
  /**
   * Breaks off a response that is still streamed when its time is up.
   *
   * @param isReaderSlow Whether the client is the reason.
   */
  expireStream(isReaderSlow: boolean): void;
}

/** Longer response bodies are streamed. */
const MAXIMUM_BUFFERED_BYTES = 262_144;
const PARSE_ERROR_PREFIX = 'HPE_';
const CHUNK_EXTENSION_OVERFLOW = 'HPE_CHUNK_EXTENSIONS_OVERFLOW';
const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';

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
  const {timers, sendScheduler} = dependencies;
  let ended = false;
  let sent = false;
  let connectTimer: TimerHandle | undefined;
  let streamedResponse: IncomingMessage | undefined;
  let finalResponse: IncomingMessage | undefined;
  let connection: Socket | undefined;
  let isEndless = false;
  const meter = createResponseMeter(request.answerBounds);

  const outgoing = httpRequest({
    host: request.host,
    port: request.port,
    method: request.method,
    path: request.path,
    headers: request.headers as unknown as Record<string, string>,
    agent: request.agent,
    setHost: false,
    maxHeaderSize: request.answerBounds.headBytes,
  });

  function end(outcome: AttemptOutcome, response?: TargetResponse): void {
    if (ended) {
      return;
    }
    ended = true;
    connectTimer?.cancel();
    if (response?.body.kind !== 'streaming') {
      releaseConnection();
    }
    events.onEnd(outcome, response);
  }

  function releaseConnection(): void {
    connection?.removeListener('end', onConnectionEnd);
    connection?.removeListener('data', onBytes);
    connection?.removeListener('data', onBytesParsed);
  }

  function reportEndless(cause: EndlessCause, decidesOutcome: boolean): void {
    if (isEndless) {
      return;
    }
    isEndless = true;
    events.onEndlessAnswer({cause, bytes: meter.bytes(), decidesOutcome});
  }

  function breakOff(cause: EndlessCause): void {
    reportEndless(cause, !ended);
    const error = new Error(`the answer has no end: ${cause}`);
    fail(error.message);
    streamedResponse?.destroy(error);
  }

  /** Runs before the parser of node:http gets the bytes. */
  function onBytes(bytes: Buffer): void {
    const cause = meter.record(bytes.length, timers.nowMs());
    if (finalResponse?.complete) {
      onBytesAfterEnd();
      return;
    }
    if (cause) {
      breakOff(cause);
    }
  }

  /** The parser closes the connection if a second response begins. */
  function onBytesParsed(): void {
    if (
      finalResponse?.complete &&
      connection?.destroyed &&
      !outgoing.destroyed
    ) {
      onBytesAfterEnd();
    }
  }

  /** The response itself is complete and stays valid. */
  function onBytesAfterEnd(): void {
    reportEndless('bytes-after-end', false);
    connection?.destroy();
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
    end(sent ? {kind: 'broken', cause} : {kind: 'not-sent', cause});
    outgoing.destroy();
  }

  function send(): void {
    if (sent || ended) {
      return;
    }
    sent = true;
    events.onSent(outgoing.reusedSocket);
    outgoing.end(request.body);
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
    socket.prependListener('data', onBytes);
    socket.on('data', onBytesParsed);
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
    if (ended) {
      return;
    }
    finalResponse = response;
    meter.recordHead(response.headers['content-length'] !== undefined);
    const {
      attemptId: attemptIdName,
      loadReport,
      notExecuted,
      rateLimit,
    } = protocol.headers;
    const echoed = headerValues(response.rawHeaders, attemptIdName);
    const [loadHeader] = headerValues(response.rawHeaders, loadReport);
    const report = loadHeader ? protocol.readLoadReport(loadHeader) : undefined;
    if (report) {
      events.onLoadReport(report);
    }
    if (echoed.some(value => value !== request.attemptId)) {
      fail('the answer belongs to another request');
      return;
    }
    // On a connection that is in use again, it may answer an earlier request.
    if (request.attemptId !== undefined && echoed.length === 0) {
      fail(`the answer with status ${response.statusCode} names no request`);
      return;
    }
    events.onResponseHead(outgoing, response);
    const status = response.statusCode ?? 0;
    if (status !== 421) {
      const [limitHeader] = headerValues(response.rawHeaders, rateLimit);
      events.onRateLimit(
        limitHeader === undefined
          ? undefined
          : protocol.readRateLimit(limitHeader),
      );
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
    const chunks: Buffer[] = [];
    let bufferedBytes = 0;

    function onData(chunk: Buffer): void {
      chunks.push(chunk);
      bufferedBytes += chunk.length;
      if (bufferedBytes <= MAXIMUM_BUFFERED_BYTES || ended) {
        return;
      }
      if (isNotExecuted) {
        breakOff('body-too-long');
        return;
      }
      response.pause();
      streamedResponse = response;
      response.once('end', releaseConnection);
      response.removeListener('data', onData);
      response.removeListener('end', onEnd);
      end(
        {kind: 'answered', status},
        {
          status,
          rawHeaders: response.rawHeaders,
          body: {kind: 'streaming', bufferedChunks: chunks, stream: response},
        },
      );
    }

    function onEnd(): void {
      if (!response.complete) {
        fail('the answer was cut short');
        return;
      }
      const bytes = Buffer.concat(chunks);
      const buffered: TargetResponse = {
        status,
        rawHeaders: response.rawHeaders,
        body: {kind: 'whole', bytes},
      };
      if (isNotExecuted) {
        end({kind: 'not-executed', status}, buffered);
        return;
      }
      end({kind: 'answered', status}, buffered);
    }

    response.on('data', onData);
    response.on('end', onEnd);
    response.on('error', error =>
      fail(`the answer broke off: ${error.message}`),
    );
    response.on('aborted', () => fail('the answer broke off'));
  }

  outgoing.on('socket', onSocket);
  outgoing.on('response', onResponse);
  outgoing.on('error', (error: NodeJS.ErrnoException) => {
    const isParseError = error.code?.startsWith(PARSE_ERROR_PREFIX) ?? false;
    if (isParseError && finalResponse?.complete) {
      onBytesAfterEnd();
      return;
    }
    if (error.code === CHUNK_EXTENSION_OVERFLOW) {
      breakOff('body-too-long');
    }
    if (error.code === HEADER_OVERFLOW) {
      breakOff(finalResponse ? 'body-too-long' : 'head-too-long');
    }
    fail(error.message);
    // A response delimited by its connection would otherwise look complete.
    streamedResponse?.destroy(error);
  });
  outgoing.on('close', () => fail('the connection was closed'));

  return {
    cancel: (isOverdue = false) => {
      if (isOverdue && !ended && meter.isTrickling(timers.nowMs())) {
        reportEndless('no-end-in-time', false);
      }
      ended = true;
      connectTimer?.cancel();
      releaseConnection();
      outgoing.destroy();
    },
    expireStream: isReaderSlow => {
      if (
        !streamedResponse ||
        streamedResponse.destroyed ||
        streamedResponse.complete
      ) {
        return;
      }
      if (isReaderSlow) {
        streamedResponse.destroy(new Error('the client reads too slowly'));
        return;
      }
      breakOff('no-end-in-time');
    },
  };
}
