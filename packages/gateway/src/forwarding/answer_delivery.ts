/** Writes answers of targets, and refusals, to clients. */
import type {ServerResponse} from 'node:http';
import {endToEndRawHeaders} from './header_rules.js';
import type {TargetAnswer} from './target_attempt.js';

const NOTHING_DROPPED: ReadonlySet<string> = new Set();
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Passes a target's answer on. One that breaks off on the way breaks the
 * client's connection, so that it cannot look complete.
 */
export function deliverAnswer(
  outgoing: ServerResponse,
  answer: TargetAnswer,
  closeAfter: boolean,
): void {
  if (outgoing.destroyed) {
    discard(answer);
    return;
  }
  const headers = endToEndRawHeaders(answer.rawHeaders, NOTHING_DROPPED);
  if (closeAfter) {
    headers.push('Connection', 'close');
  }
  const {body} = answer;
  if (body.kind === 'whole') {
    if (!hasLength(headers) && mayHaveBody(answer.status)) {
      headers.push('Content-Length', String(body.bytes.length));
    }
    outgoing.writeHead(answer.status, headers);
    outgoing.end(body.bytes);
    return;
  }
  outgoing.writeHead(answer.status, headers);
  for (const chunk of body.begin) {
    outgoing.write(chunk);
  }
  const {rest} = body;
  rest.on('data', (chunk: Buffer) => {
    if (!outgoing.write(chunk)) {
      rest.pause();
    }
  });
  outgoing.on('drain', () => rest.resume());
  rest.on('end', () => {
    if (rest.complete) {
      outgoing.end();
      return;
    }
    breakOff(outgoing);
  });
  rest.on('error', () => breakOff(outgoing));
  rest.on('aborted', () => breakOff(outgoing));
  outgoing.on('close', () => rest.destroy());
  rest.resume();
}

/**
 * Answers on the gateway's own account.
 *
 * @param retryAfterMs When the client may come back, if that makes sense.
 */
export function refuse(
  outgoing: ServerResponse,
  status: number,
  why: string,
  retryAfterMs?: number,
  close = false,
): void {
  if (outgoing.destroyed || outgoing.headersSent) {
    return;
  }
  const body = JSON.stringify({error: why});
  const headers: Record<string, string> = {
    'Content-Type': 'application/json',
    'Content-Length': String(Buffer.byteLength(body)),
  };
  if (retryAfterMs !== undefined) {
    const seconds = retryAfterMs / MILLISECONDS_PER_SECOND;
    headers['Retry-After'] = seconds.toFixed(2);
  }
  if (close) {
    headers['Connection'] = 'close';
  }
  outgoing.writeHead(status, headers);
  outgoing.end(body);
}

function breakOff(outgoing: ServerResponse): void {
  outgoing.socket?.resetAndDestroy();
}

function discard(answer: TargetAnswer): void {
  if (answer.body.kind === 'streaming') {
    answer.body.rest.destroy();
  }
}

function hasLength(headers: readonly string[]): boolean {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === 'content-length') {
      return true;
    }
  }
  return false;
}

function mayHaveBody(status: number): boolean {
  return status >= 200 && status !== 204 && status !== 304;
}
