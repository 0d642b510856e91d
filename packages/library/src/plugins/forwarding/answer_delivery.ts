/** Brings the answer of the winning attempt to the caller, held or streamed. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RecordedAnswer} from '@ibisbeam/decision';
import type {TimerService} from '../../core/timers/index.js';
import {
  answerHeaders,
  recordedAnswer,
  writeHeldAnswer,
} from './answer_writer.js';
import {isWithoutBody} from './attempt.js';
import type {Intake} from './intake.js';
import {type PacedWriter, createPacedWriter} from './paced_writer.js';
import type {RunningAttempt} from './running_attempt.js';

/** An answer that arrived whole and was held. */
export interface HeldAnswer {
  readonly status: number;
  write(): void;
  /** @param maximumBytes Longer bodies are left out of the record. */
  toRecord(maximumBytes: number): RecordedAnswer;
}

export interface AnswerDelivery {
  /** The attempt whose answer streams, if one does. */
  readonly streaming: () => RunningAttempt | undefined;
  /** Writes the head and what was held so far. */
  beginStream(entry: RunningAttempt, head: IncomingMessage): void;
  pass(chunk: Buffer): void;
  /** @returns The record of the answer, without its body. */
  endStream(head: IncomingMessage): RecordedAnswer;
  hold(entry: RunningAttempt, head: IncomingMessage): HeldAnswer;
}

export function createAnswerDelivery(
  intake: Intake,
  response: ServerResponse,
  timers: TimerService,
): AnswerDelivery {
  let streaming: RunningAttempt | undefined;
  let writer: PacedWriter | undefined;

  function beginStream(entry: RunningAttempt, head: IncomingMessage): void {
    streaming = entry;
    response.writeHead(
      head.statusCode ?? 502,
      answerHeaders(head, intake.requestId),
    );
    writer = createPacedWriter({
      response,
      timers,
      bytesPerSecond: entry.action.paceBytesPerSecond,
      pause: () => entry.attempt?.pause(),
      resume: () => entry.attempt?.resume(),
    });
    for (const chunk of entry.held.splice(0)) {
      writer.write(chunk);
    }
  }

  function hold(entry: RunningAttempt, head: IncomingMessage): HeldAnswer {
    const body = Buffer.concat(entry.held);
    const headers = answerHeaders(head, intake.requestId);
    const withoutBody = isWithoutBody(head, intake.method);
    return {
      status: head.statusCode ?? 0,
      write: () => writeHeldAnswer(response, head, headers, body, withoutBody),
      toRecord: maximumBytes => {
        const fits = !entry.discarded && body.length <= maximumBytes;
        return recordedAnswer(head, headers, fits ? body : undefined);
      },
    };
  }

  return {
    streaming: () => streaming,
    beginStream,
    pass: chunk => writer?.write(chunk),
    endStream: head => {
      writer?.end();
      const headers = answerHeaders(head, intake.requestId);
      return recordedAnswer(head, headers, undefined);
    },
    hold,
  };
}
