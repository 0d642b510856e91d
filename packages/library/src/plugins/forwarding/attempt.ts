/**
 * Sends one attempt of a request to one address, using got without its retries.
 *
 * The connection is destroyed if the response is abandoned, is truncated or
 * belongs to another request, so that no later request can read from it.
 */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  type RequestOptions,
  request as httpRequest,
} from 'node:http';
import type {AttemptResult} from '@ibisbeam/decision';
import {type Request, got} from 'got';
import {
  type HeaderValue,
  LEAVING_HEADER,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
  findAnswerHeadProblem,
  readAllHeaderLines,
} from '../../core/http/index.js';
import type {TimerService} from '../../core/timers/index.js';

const MILLISECONDS_PER_SECOND = 1_000;
const NOT_FOUND = -1;

export interface AttemptRequest {
  readonly url: string;
  readonly method: string;
  readonly headers: Record<string, HeaderValue | undefined>;
  readonly body: Buffer;
  readonly agent: Agent;
  readonly requestId: string;
  readonly connectTimeoutMs: number;
  readonly timers: Pick<TimerService, 'after'>;
  /** Whether the address is that of an entry VM instead of a target. */
  readonly relay: boolean;
}

/** Events of an attempt; `finished` is called exactly once, and last. */
export interface AttemptListener {
  /** From this call on, bytes may reach the server. */
  sent(): void;
  /** The target announced in a response header that it is about to stop. */
  leaving(): void;
  responseStarted(head: IncomingMessage): void;
  data(chunk: Buffer): void;
  finished(result: AttemptResult): void;
}

export interface Attempt {
  /** Stops reading, for back pressure. */
  pause(): void;
  resume(): void;
  /** Ends the attempt with the given result and destroys its connection. */
  abandon(result: AttemptResult): void;
  /** Whether bytes may have reached the server. */
  readonly wasSent: () => boolean;
}

/** Omits the TLS options, which node:http would copy several times. */
function plainRequest(
  url: URL,
  options: RequestOptions,
  callback?: (response: IncomingMessage) => void,
): ClientRequest {
  const {method, headers, agent} = options;
  return readAllHeaderLines(
    httpRequest(url, {method, headers, agent}, callback),
  );
}

const client = got.extend({
  request: plainRequest as never,
  retry: {limit: 0},
  throwHttpErrors: false,
  followRedirect: false,
  decompress: false,
  headers: {'user-agent': undefined},
});

export function startAttempt(
  request: AttemptRequest,
  listener: AttemptListener,
): Attempt {
  let sent = false;
  let ended = false;
  let response: IncomingMessage | undefined;
  let bytes = 0;
  let paused = false;

  const sendsBody = hasBody(request);

  const stream = client.stream(request.url, {
    method: request.method as 'GET',
    headers: request.headers,
    body: sendsBody ? request.body : undefined,
    allowGetBody: sendsBody,
    agent: {http: request.agent},
  });

  function finish(result: AttemptResult): void {
    if (ended) {
      return;
    }
    ended = true;
    listener.finished(result);
  }

  function abandon(result: AttemptResult): void {
    if (ended) {
      return;
    }
    destroyConnection(stream, response);
    finish(result);
  }

  function markSent(): void {
    if (!sent && !ended) {
      sent = true;
      listener.sent();
    }
  }

  function onRequest(outgoing: ClientRequest): void {
    if (ended) {
      outgoing.destroy();
      return;
    }
    outgoing.once('socket', socket => {
      if (!socket.connecting) {
        markSent();
        return;
      }
      const timeout = request.timers.after(request.connectTimeoutMs, () =>
        abandon({
          kind: 'not-sent',
          cause: `no connection within ${request.connectTimeoutMs} ms`,
        }),
      );
      socket.once('connect', () => {
        timeout.cancel();
        markSent();
      });
      socket.once('close', () => timeout.cancel());
    });
  }

  function onResponse(head: IncomingMessage): void {
    if (ended) {
      head.destroy();
      return;
    }
    response = head;
    const problem = findAnswerHeadProblem(head, {
      header: REQUEST_ID_HEADER,
      identifier: request.requestId,
      isRequired: false,
    });
    if (problem) {
      abandon({kind: 'broken', cause: problem.cause});
      return;
    }
    const {headers} = head;
    if (headers[LEAVING_HEADER] === 'true' && !request.relay) {
      listener.leaving();
    }
    const refused = refusalOf(head, request.relay);
    if (refused) {
      stream.resume();
      finish(refused);
      return;
    }
    if (!hasBodyFraming(head, request.method)) {
      abandon({
        kind: 'broken',
        cause: 'response without Content-Length or chunked encoding',
      });
      return;
    }
    listener.responseStarted(head);
    if (!ended) {
      stream.on('data', onData);
      if (paused) {
        stream.pause();
      }
    }
  }

  function onData(chunk: Buffer): void {
    if (ended) {
      return;
    }
    bytes += chunk.length;
    listener.data(chunk);
  }

  function onEnd(): void {
    if (!response || ended) {
      return;
    }
    if (!response.complete || isTruncated(response, request.method, bytes)) {
      abandon({
        kind: 'broken',
        cause: `response truncated after ${bytes} bytes`,
      });
      return;
    }
    finish({kind: 'answered', status: response.statusCode ?? 0});
  }

  function onError(error: Error & {code?: string}): void {
    const cause = error.code ?? error.message;
    abandon(sent ? {kind: 'broken', cause} : {kind: 'not-sent', cause});
  }

  if (!sendsBody && request.method === 'OPTIONS') {
    stream.end();
  }
  stream.once('request', onRequest);
  stream.once('response', onResponse);
  stream.on('end', onEnd);
  stream.on('error', onError);

  return {
    pause: () => {
      paused = true;
      stream.pause();
    },
    resume: () => {
      paused = false;
      stream.resume();
    },
    abandon,
    wasSent: () => sent,
  };
}

function hasBody(request: AttemptRequest): boolean {
  return request.body.length > 0 || !isBodylessMethod(request.method);
}

function isBodylessMethod(method: string): boolean {
  return method === 'GET' || method === 'HEAD' || method === 'OPTIONS';
}

function destroyConnection(
  stream: Request,
  response: IncomingMessage | undefined,
): void {
  response?.destroy();
  stream.destroy();
}

/** The result of a response that reports a refusal or a failed relay. */
function refusalOf(
  head: IncomingMessage,
  relay: boolean,
): AttemptResult | undefined {
  const outcome = head.headers[OUTCOME_HEADER];
  const status = head.statusCode ?? 0;
  if (status === 503 && outcome === 'not-run') {
    return {kind: 'shed', retryAfterMs: retryAfterMs(head)};
  }
  if (relay && outcome === 'unknown' && (status === 502 || status === 504)) {
    return {kind: 'broken', cause: `relay responded with status ${status}`};
  }
  return undefined;
}

function retryAfterMs(head: IncomingMessage): number | undefined {
  const seconds = Number(head.headers['retry-after'] ?? Number.NaN);
  return Number.isFinite(seconds) && seconds >= 0
    ? seconds * MILLISECONDS_PER_SECOND
    : undefined;
}

/** Whether a truncated response can be distinguished from a complete one. */
function hasBodyFraming(head: IncomingMessage, method: string): boolean {
  const encoding = head.headers['transfer-encoding'] ?? '';
  return (
    isBodylessResponse(head, method) ||
    head.headers['content-length'] !== undefined ||
    encoding.indexOf('chunked') !== NOT_FOUND
  );
}

function isTruncated(
  head: IncomingMessage,
  method: string,
  bytes: number,
): boolean {
  const stated = contentLengthOf(head);
  if (stated === undefined || isBodylessResponse(head, method)) {
    return false;
  }
  return bytes !== stated;
}

/** The Content-Length in bytes, if the header is present. */
export function contentLengthOf(head: IncomingMessage): number | undefined {
  const length = head.headers['content-length'];
  return length === undefined ? undefined : Number(length);
}

/** Whether the response has no body regardless of its headers. */
export function isBodylessResponse(
  head: IncomingMessage,
  method: string,
): boolean {
  const status = head.statusCode ?? 0;
  return method === 'HEAD' || status === 204 || status === 304;
}
