/** Delivers the response of the winning attempt, buffered or streamed. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RecordedAnswer} from '@ibisbeam/decision';
import type {TimerService} from '../../core/timers/index.js';
import {
  buildResponseHeaders,
  toRecordedAnswer,
  writeBufferedResponse,
} from './response_writer.js';
import {isBodylessResponse} from './attempt.js';
import type {ValidatedRequest} from './request_validator.js';
import {type PacedWriter, createPacedWriter} from './paced_writer.js';
import type {RunningAttempt} from './running_attempt.js';

/** A response that was received completely and buffered. */
export interface BufferedResponse {
  readonly status: number;
  /** Sends the whole response to the caller. */
  write(): void;
  /** @param maximumBytes Longer bodies are omitted from the record. */
  toRecord(maximumBytes: number): RecordedAnswer;
}

export interface ResponseDelivery {
  /** The attempt whose response is being streamed, if any. */
  readonly streamingAttempt: () => RunningAttempt | undefined;
  /** Writes the head and the chunks that are buffered so far. */
  beginStream(entry: RunningAttempt, head: IncomingMessage): void;
  /** Writes a chunk of the response that is being streamed. */
  write(chunk: Buffer): void;
  /** @returns The record of the response, without its body. */
  endStream(head: IncomingMessage): RecordedAnswer;
  /** Joins the buffered chunks of a response that has ended. */
  buildBufferedResponse(
    entry: RunningAttempt,
    head: IncomingMessage,
  ): BufferedResponse;
}

export function createResponseDelivery(
  request: ValidatedRequest,
  response: ServerResponse,
  timers: TimerService,
): ResponseDelivery {
  let streamingAttempt: RunningAttempt | undefined;
  let writer: PacedWriter | undefined;

  function beginStream(entry: RunningAttempt, head: IncomingMessage): void {
    streamingAttempt = entry;
    response.writeHead(
      head.statusCode ?? 502,
      buildResponseHeaders(head, request.requestId),
    );
    writer = createPacedWriter({
      response,
      timers,
      bytesPerSecond: entry.action.paceBytesPerSecond,
      pause: () => entry.attempt?.pause(),
      resume: () => entry.attempt?.resume(),
    });
    for (const chunk of entry.bufferedChunks.splice(0)) {
      writer.write(chunk);
    }
  }

  function buildBufferedResponse(
    entry: RunningAttempt,
    head: IncomingMessage,
  ): BufferedResponse {
    const body = Buffer.concat(entry.bufferedChunks);
    const headers = buildResponseHeaders(head, request.requestId);
    const bodyless = isBodylessResponse(head, request.method);
    return {
      status: head.statusCode ?? 0,
      write: () =>
        writeBufferedResponse(response, head, headers, body, bodyless),
      toRecord: maximumBytes => {
        const fits = !entry.discarded && body.length <= maximumBytes;
        return toRecordedAnswer(head, headers, fits ? body : undefined);
      },
    };
  }

  return {
    streamingAttempt: () => streamingAttempt,
    beginStream,
    write: chunk => writer?.write(chunk),
    endStream: head => {
      writer?.end();
      const headers = buildResponseHeaders(head, request.requestId);
      return toRecordedAnswer(head, headers, undefined);
    },
    buildBufferedResponse,
  };
}
