/** Writes target responses and refusals to clients. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {type TimerService, afterInputRead} from '@ibisbeam/library';
import {endToEndRawHeaders} from './header_rules.js';
import {
  TARGET_SILENCE_MS,
  type TargetResponse,
  streamOf,
} from './target_attempt.js';

/** Sent while this VM stops and has not passed the request on. */
export const STOPPING_REASON = 'this VM stops';
/** Other VMs take the request at once. */
export const STOPPING_RETRY_AFTER_MS = 0;
/** A write takes some memory, however short it is. */
const MAXIMUM_WRITES_BEHIND = 64;
const MILLISECONDS_PER_HUNDREDTH = 10;
const HUNDREDTHS_PER_SECOND = 100;

export interface DeliveryOptions {
  /** Names, in lower case, of headers that callers do not get. */
  readonly droppedHeaders: ReadonlySet<string>;
  readonly timers: Pick<TimerService, 'nowMs' | 'at' | 'after' | 'atTurnEnd'>;
  /** Time after which a target may no longer be silent in a long answer. */
  readonly limitAtMs: number;
  /** So much memory of a long answer, read before its delivery, is free. */
  onBufferedSent(bytes: number): void;
  /** A long answer has ended, or has been ended, before its end; called once. */
  onBrokenOff(): void;
}

/**
 * Sends a target's response to the client. If the target's response is cut
 * short, the client's connection is reset, because a response without a
 * length would otherwise look complete.
 */
export function deliverResponse(
  outgoing: ServerResponse,
  response: TargetResponse,
  {
    droppedHeaders,
    timers,
    limitAtMs,
    onBufferedSent,
    onBrokenOff,
  }: DeliveryOptions,
): void {
  if (outgoing.destroyed) {
    streamOf(response)?.destroy();
    return;
  }
  const headers = endToEndRawHeaders(response.rawHeaders, droppedHeaders);
  const {body} = response;
  if (body.kind === 'streaming' && hasBrokenOff(body.stream)) {
    onBrokenOff();
    refuse(outgoing, 502, 'the answer broke off');
    return;
  }
  if (body.kind === 'whole') {
    if (!hasContentLength(headers) && mayHaveBody(response.status)) {
      headers.push('Content-Length', String(body.byteCount));
    }
    writeHead(outgoing, response.status, headers);
    writeWhole(outgoing, body.chunks);
    return;
  }
  writeHead(outgoing, response.status, headers);
  for (const chunk of body.bufferedChunks) {
    outgoing.write(chunk);
  }
  const {stream, heldBytes} = body;
  let isBrokenOff = false;

  function breakOff(): void {
    if (!isBrokenOff && !outgoing.destroyed) {
      isBrokenOff = true;
      onBrokenOff();
    }
    resetConnection(outgoing);
  }

  let lastBytesAtMs = timers.nowMs();
  /** Writes of the stream that have not left. */
  let writesBehind = 0;

  function isCallerBehind(): boolean {
    return outgoing.writableNeedDrain || writesBehind >= MAXIMUM_WRITES_BEHIND;
  }

  function onWritten(): void {
    writesBehind -= 1;
    if (writesBehind === MAXIMUM_WRITES_BEHIND - 1) {
      resumeUnlessBehind();
    }
  }

  function resumeUnlessBehind(): void {
    if (!isCallerBehind()) {
      lastBytesAtMs = timers.nowMs();
      stream.resume();
    }
  }

  /** A client that reads slowly keeps its target waiting. */
  function isTargetSilent(): boolean {
    const silentMs = timers.nowMs() - lastBytesAtMs;
    return silentMs >= TARGET_SILENCE_MS && !isCallerBehind();
  }

  function checkSilence(): void {
    silenceTimer = timers.after(TARGET_SILENCE_MS, checkSilence);
    if (!isTargetSilent()) {
      return;
    }
    // After a pause of this process, what the target has sent is unread.
    afterInputRead(timers, () => {
      if (isTargetSilent() && !stream.readableEnded) {
        silenceTimer.cancel();
        breakOff();
      }
    });
  }

  let silenceTimer = timers.at(limitAtMs, checkSilence);
  outgoing.on('close', () => silenceTimer.cancel());
  stream.on('data', (chunk: Buffer) => {
    lastBytesAtMs = timers.nowMs();
    writesBehind += 1;
    outgoing.write(chunk, onWritten);
    if (isCallerBehind()) {
      stream.pause();
    }
  });
  outgoing.once('drain', () => onBufferedSent(heldBytes));
  outgoing.on('drain', resumeUnlessBehind);
  stream.on('end', () => {
    silenceTimer.cancel();
    if (stream.complete) {
      outgoing.end();
      return;
    }
    breakOff();
  });
  stream.on('error', breakOff);
  stream.on('aborted', breakOff);
  stream.resume();
}

/** @param headers Flat list of names and values, which replace those set. */
function writeHead(
  outgoing: ServerResponse,
  status: number,
  headers: readonly string[],
): void {
  const namesSet = outgoing.getHeaderNames();
  if (namesSet.length === 0) {
    outgoing.writeHead(status, headers as string[]);
    return;
  }
  // Beside headers that were set, `writeHead` keeps the last of repeated ones.
  for (const name of namesSet) {
    outgoing.removeHeader(name);
  }
  for (let index = 0; index + 1 < headers.length; index += 2) {
    outgoing.appendHeader(headers[index] ?? '', headers[index + 1] ?? '');
  }
  outgoing.writeHead(status);
}

/** Head and body leave together, without a copy of the body. */
function writeWhole(outgoing: ServerResponse, chunks: readonly Buffer[]): void {
  const [first, ...others] = chunks;
  if (others.length === 0) {
    outgoing.end(first);
    return;
  }
  outgoing.cork();
  for (const chunk of chunks) {
    outgoing.write(chunk);
  }
  outgoing.end();
}

/**
 * Sends an error response made by the gateway itself.
 *
 * @param retryAfterMs Sent as Retry-After, in seconds; omit it if a retry would
 *     not help.
 */
export function refuse(
  outgoing: ServerResponse,
  status: number,
  reason: string,
  retryAfterMs?: number,
): void {
  if (outgoing.destroyed || outgoing.headersSent) {
    return;
  }
  const body = JSON.stringify({error: reason});
  const headers: Record<string, string> = {
    'Content-Type': 'application/json',
    'Content-Length': String(Buffer.byteLength(body)),
  };
  if (retryAfterMs !== undefined) {
    // Rounded up, so that nobody comes back before it makes sense.
    const hundredths = Math.ceil(retryAfterMs / MILLISECONDS_PER_HUNDREDTH);
    headers['Retry-After'] = (hundredths / HUNDREDTHS_PER_SECOND).toFixed(2);
  }
  outgoing.writeHead(status, headers);
  outgoing.end(body);
}

/** Whether the rest of the body will not come. */
function hasBrokenOff(stream: IncomingMessage): boolean {
  return !stream.complete && (stream.aborted || stream.destroyed);
}

function resetConnection(outgoing: ServerResponse): void {
  outgoing.socket?.resetAndDestroy();
}

function hasContentLength(headers: readonly string[]): boolean {
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
