/**
 * Answers of a stand-in worker that do not end before the other side closes the
 * connection.
 */
import type {Socket} from 'node:net';
import type {TimerService} from '@ibisbeam/library';

export type EndlessFault =
  /** Sends a header field whose value does not end. */
  | 'endless-head'
  /** Sends interim responses and no final one. */
  | 'endless-interim'
  /** Sends a body without a length and does not end it. */
  | 'endless-body'
  /** As `endless-body`, with status 500. */
  | 'endless-error'
  /** Sends chunks of one byte, each with a long extension. */
  | 'endless-chunks'
  /** Sends one chunk extension that does not end. */
  | 'endless-chunk-extension'
  /** Ends a chunked body and sends a trailer that does not end. */
  | 'endless-trailer'
  /** Sends bytes that are not an HTTP response. */
  | 'endless-not-http'
  /** Sends a complete response and goes on with other bytes. */
  | 'bytes-after-end'
  /** As `bytes-after-end`; the other bytes follow after 20 ms. */
  | 'late-bytes-after-end'
  /** Begins a header field and adds one byte per second to it. */
  | 'trickled-head'
  /** Announces a body with a length and sends one byte per second of it. */
  | 'trickled-body'
  /** Sends a part of a long body, then one byte per second. */
  | 'trickled-stream';

export interface EndlessAnswer {
  readonly attemptId: string;
  readonly fault: EndlessFault;
  /** Bytes passed to the connection so far. */
  bytes: number;
  readonly startedAtMs: number;
  /** When the other side closed the connection; undefined if it is open. */
  closedAtMs: number | undefined;
}

export interface EndlessAnswerOptions {
  readonly socket: Socket;
  readonly attemptId: string;
  readonly timers: Pick<TimerService, 'after' | 'nowMs'>;
  /** Formats the status line and the header fields, each with its line end. */
  formatHead(status: number): string;
}

const BLOCK_BYTES = 65_536;
const LATE_BYTES_DELAY_MS = 20;
const TRICKLE_INTERVAL_MS = 1_000;
/** Longer than the bodies that gateways hold back until they are complete. */
const STREAM_BYTES = 300_000;
const EXTENSION_BYTES = 1_000;
const BLOCK = 'x'.repeat(BLOCK_BYTES);
const COMPLETE_BODY = 'Content-Length: 4\r\n\r\nroom';
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

/** Writes until the connection is closed; the result is kept up to date. */
export function writeEndlessAnswer(
  fault: EndlessFault,
  options: EndlessAnswerOptions,
): EndlessAnswer {
  const {socket, attemptId, timers} = options;
  const answer: EndlessAnswer = {
    attemptId,
    fault,
    bytes: 0,
    startedAtMs: timers.nowMs(),
    closedAtMs: undefined,
  };
  const head = (status = 200): string => options.formatHead(status);

  function write(text: string, onWritten?: () => void): void {
    if (socket.destroyed) {
      return;
    }
    answer.bytes += text.length;
    socket.write(text, error => {
      // The socket is not destroyed yet when the callback gets its error.
      if (!error) {
        onWritten?.();
      }
    });
  }

  function repeat(block: string): void {
    write(block, () => repeat(block));
  }

  function flood(start: string, block = BLOCK): void {
    write(start, () => repeat(block));
  }

  function trickle(start: string): void {
    write(start);
    timers.after(TRICKLE_INTERVAL_MS, () => {
      if (!socket.destroyed) {
        trickle('x');
      }
    });
  }

  function begin(): void {
    switch (fault) {
      case 'endless-head':
        flood(`${head()}X-Filler: `);
        return;
      case 'endless-interim':
        flood('', fill('HTTP/1.1 103 Early Hints\r\nLink: </rooms>\r\n\r\n'));
        return;
      case 'endless-body':
        flood(`${head()}\r\n`);
        return;
      case 'endless-error':
        flood(`${head(500)}\r\n`);
        return;
      case 'endless-chunks': {
        const extension = 'x'.repeat(EXTENSION_BYTES);
        flood(`${head()}${CHUNKED}`, fill(`1;${extension}\r\nx\r\n`));
        return;
      }
      case 'endless-chunk-extension':
        flood(`${head()}${CHUNKED}1;`);
        return;
      case 'endless-trailer':
        flood(`${head()}${CHUNKED}1\r\nx\r\n0\r\nX-Filler: `);
        return;
      case 'endless-not-http':
        flood('');
        return;
      case 'bytes-after-end':
        flood(`${head()}${COMPLETE_BODY}`);
        return;
      case 'late-bytes-after-end':
        write(`${head()}${COMPLETE_BODY}`);
        timers.after(LATE_BYTES_DELAY_MS, () => flood(''));
        return;
      case 'trickled-head':
        trickle(`${head()}X-Filler: `);
        return;
      case 'trickled-body':
        trickle(`${head()}Content-Length: ${BLOCK_BYTES}\r\n\r\n`);
        return;
      case 'trickled-stream':
        trickle(`${head()}\r\n${'x'.repeat(STREAM_BYTES)}`);
        return;
    }
  }

  socket.once('close', () => {
    answer.closedAtMs = timers.nowMs();
  });
  begin();
  return answer;
}

/** Repeats the text up to the size of a block. */
function fill(text: string): string {
  return text.repeat(Math.ceil(BLOCK_BYTES / text.length));
}
