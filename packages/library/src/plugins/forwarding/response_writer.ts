/** Writes responses of targets and recorded responses to callers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RecordedAnswer, RequestId} from '@ibisbeam/decision';
import {
  type HeaderValue,
  LEAVING_HEADER,
  REPLAYED_HEADER,
  REQUEST_ID_HEADER,
  selectEndToEndHeaders,
} from '../../core/http/index.js';

const DROPPED_RESPONSE_HEADERS: ReadonlySet<string> = new Set([
  LEAVING_HEADER,
  REQUEST_ID_HEADER,
]);

const EMPTY_BODY = Buffer.alloc(0);

/** Headers of a target's response as sent to the caller. */
export function buildResponseHeaders(
  head: IncomingMessage,
  request: RequestId,
): Record<string, HeaderValue> {
  const headers = selectEndToEndHeaders(head.headers, DROPPED_RESPONSE_HEADERS);
  headers[REQUEST_ID_HEADER] = request;
  return headers;
}

/** Writes a complete, buffered response. */
export function writeBufferedResponse(
  response: ServerResponse,
  head: IncomingMessage,
  headers: Record<string, HeaderValue>,
  body: Buffer,
  bodyless: boolean,
): void {
  const sentHeaders = {...headers};
  if (!bodyless) {
    sentHeaders['content-length'] = String(body.length);
  }
  response.writeHead(head.statusCode ?? 502, sentHeaders);
  response.end(bodyless ? undefined : body);
}

/** Replays the recorded response of the first run to a repeated request. */
export function writeRecordedAnswer(
  response: ServerResponse,
  answer: RecordedAnswer,
  request: RequestId,
): void {
  const body =
    answer.bodyBase64 === undefined
      ? EMPTY_BODY
      : Buffer.from(answer.bodyBase64, 'base64');
  response.writeHead(answer.status, {
    ...answer.headers,
    'content-length': String(body.length),
    [REQUEST_ID_HEADER]: request,
    [REPLAYED_HEADER]: 'true',
  });
  response.end(body);
}

/** The response in the form in which the claim stores it. */
export function toRecordedAnswer(
  head: IncomingMessage,
  headers: Record<string, HeaderValue>,
  body: Buffer | undefined,
): RecordedAnswer {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (name !== REQUEST_ID_HEADER && name !== 'content-length') {
      kept[name] = Array.isArray(value) ? value.join(', ') : value;
    }
  }
  return {
    status: head.statusCode ?? 502,
    headers: kept,
    bodyBase64: body?.toString('base64'),
  };
}
