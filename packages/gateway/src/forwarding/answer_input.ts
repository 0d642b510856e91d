/**
 * Reads one answer from its connection within bounds: no more bytes before the
 * final head than it may take, and a body that is not made of framing. Short
 * pieces of the body are merged, those of one turn of the event loop as well as
 * those that arrive while the body is paused.
 */
import {type IncomingMessage, maxHeaderSize} from 'node:http';
import type {Socket} from 'node:net';
import {type AnswerExcess, createAnswerMeter} from '@ibisbeam/decision';
import {createPieceBuffer} from '@ibisbeam/library';
import {readInSlices} from './sliced_reads.js';

/** Why an answer is read no further. */
export type AnswerFault =
  AnswerExcess | 'blank-lines' | 'long-body' | 'malformed' | 'unexpected';

export interface AnswerInput {
  onInterimAnswer(): void;
  /** Call it before the body is listened to. */
  onHead(response: IncomingMessage): void;
  /** The body has emitted so many bytes. */
  onData(bytes: number): void;
  /** The body is passed on while it is read, and is paused meanwhile. */
  onStream(): void;
  /** What an error of the HTTP parser tells of the answer, if anything. */
  faultOf(error: Error): AnswerFault | undefined;
  /** Bytes that the connection has read for the answer. */
  readBytes(): number;
}

export interface AnswerInputEvents {
  /** The answer is beyond a bound; the connection must be closed. */
  onRefused(fault: AnswerFault): void;
  /** The last byte of the answer has been read. */
  onComplete(): void;
  /** The HTTP parser has closed the connection for a further answer. */
  onFurtherAnswer(): void;
}

/** Longer pieces are passed on as they are. */
const MAXIMUM_MERGED_BYTES = 4_096;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

export function readAnswer(
  socket: Socket,
  events: AnswerInputEvents,
): AnswerInput {
  const meter = createAnswerMeter(maxHeaderSize);
  let readBytes = 0;
  let answer: IncomingMessage | undefined;
  let isMerging = false;
  const stopSlicing = readInSlices(socket, {
    nextBytes: meter.sliceBytes,
    onSlice: slice => {
      readBytes += slice.length;
      if (answer?.complete) {
        if (socket.destroyed) {
          events.onFurtherAnswer();
        }
        return;
      }
      const excess = meter.recordParsed(readBytes - socket.readableLength);
      if (excess !== undefined) {
        events.onRefused(
          excess === 'long-head' && isBlank(slice) ? 'blank-lines' : excess,
        );
      }
    },
  });

  function refuseIf(excess: AnswerExcess | undefined): void {
    if (excess !== undefined) {
      events.onRefused(excess);
    }
  }

  function onComplete(): void {
    stopSlicing();
    events.onComplete();
  }

  function onPiece(bytes: number): void {
    refuseIf(meter.recordPiece(bytes));
  }

  function merge(response: IncomingMessage): void {
    isMerging = true;
    mergePieces(response, onPiece, onComplete);
  }

  return {
    onInterimAnswer: () => refuseIf(meter.recordInterimAnswer()),
    onHead: response => {
      answer = response;
      meter.recordHead();
      if (response.headers['transfer-encoding'] !== undefined) {
        merge(response);
        return;
      }
      // All that follows is payload, in one piece for each read.
      stopSlicing();
    },
    onData: bytes => {
      if (!isMerging) {
        onPiece(bytes);
      }
    },
    onStream: () => {
      if (answer && !isMerging) {
        merge(answer);
      }
    },
    faultOf: error => {
      const {code = ''} = error as NodeJS.ErrnoException;
      switch (code) {
        case 'HPE_HEADER_OVERFLOW':
          return 'long-head';
        case 'HPE_CHUNK_EXTENSIONS_OVERFLOW':
          return 'short-pieces';
        // The connection was closed in the middle of the answer.
        case 'HPE_INVALID_EOF_STATE':
          return undefined;
        default:
          if (!code.startsWith('HPE_')) {
            return undefined;
          }
          if (!answer?.complete) {
            return 'malformed';
          }
          return answer.headers['content-length'] === undefined
            ? 'unexpected'
            : 'long-body';
      }
    },
    readBytes: () => readBytes,
  };
}

/** Replaces `push`, through which the HTTP parser adds the pieces of a body. */
function mergePieces(
  response: IncomingMessage,
  onPiece: (bytes: number) => void,
  onComplete: () => void,
): void {
  const {push} = response;
  const pieces = createPieceBuffer();
  let isFlushDue = false;

  function flush(): void {
    const byteCount = pieces.byteCount();
    if (byteCount > 0) {
      push.call(response, mergeBuffers(pieces.take(), byteCount));
    }
  }

  function flushAfterRead(): void {
    isFlushDue = false;
    if (!response.isPaused()) {
      flush();
    }
  }

  response.push = (piece: Buffer | null) => {
    if (piece === null) {
      flush();
      onComplete();
      return push.call(response, null);
    }
    onPiece(piece.length);
    if (response.destroyed) {
      return false;
    }
    if (piece.length > MAXIMUM_MERGED_BYTES) {
      flush();
      return push.call(response, piece);
    }
    pieces.append(piece);
    if (!isFlushDue) {
      isFlushDue = true;
      process.nextTick(flushAfterRead);
    }
    const waitingBytes = pieces.byteCount() + response.readableLength;
    return waitingBytes < response.readableHighWaterMark;
  };
  response.on('resume', flush);
}

function mergeBuffers(buffers: readonly Buffer[], byteCount: number): Buffer {
  const [first, ...others] = buffers;
  if (first && others.length === 0) {
    return first;
  }
  const merged = Buffer.allocUnsafeSlow(byteCount);
  let offset = 0;
  for (const buffer of buffers) {
    offset += buffer.copy(merged, offset);
  }
  return merged;
}

function isBlank(bytes: Buffer): boolean {
  return bytes.every(byte => byte === LINE_FEED || byte === CARRIAGE_RETURN);
}
