/**
 * Bytes without end, in place of an answer or of a request, by kind: framing
 * that outweighs its payload, heads and bodies that never end.
 */
import type {Socket} from 'node:net';
import type {TimerService} from '@ibisbeam/library';

/** What a target sends without end in place of its answer. */
export const ENDLESS_ANSWERS = [
  'one-byte-chunks',
  'continue-answers',
  'early-hints',
  'blank-lines',
  'head-lines',
  'head-line',
  'no-http',
  'chunk-extension',
  'trailers',
  'beyond-length',
  'unasked-answers',
  'until-close',
  'huge-length',
] as const;

export type EndlessAnswer = (typeof ENDLESS_ANSWERS)[number];

/** What a caller sends without end in place of a request. */
export const ENDLESS_REQUESTS = [
  'upload-in-one-byte-chunks',
  'upload-with-chunk-extension',
  'upload-with-trailers',
  'blank-lines-ahead',
  'head-lines-ahead',
  'requests-ahead',
] as const;

export type EndlessRequest = (typeof ENDLESS_REQUESTS)[number];

/** What is sent first, and what is sent again and again after it. */
export interface EndlessBytes {
  readonly beginning: Buffer;
  readonly repeated: Buffer;
}

/** Ends what would be without end. */
export interface EndlessLimit {
  /** Of what is repeated. */
  readonly bytes: number;
  /** Written after it. */
  readonly ending: Buffer;
}

const ONE_BYTE_CHUNK = '1\r\nx\r\n';
const BLOCK_BYTES = 65_536;
/** More than a connection holds on its way, so that a reader finds much at once. */
const WRITTEN_AHEAD_BYTES = 4_194_304;
const STATED_BYTES = 20;
const HUGE_BYTES = 9_000_000_000;
const HEADER_LINE = 'X-More: 0123456789\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

export function isEndlessAnswer(text: string): text is EndlessAnswer {
  return (ENDLESS_ANSWERS as readonly string[]).includes(text);
}

/** @param headers Lines of the head that each answer has, each with its end. */
export function buildEndlessAnswer(
  kind: EndlessAnswer,
  headers: string,
): EndlessBytes {
  const head = `HTTP/1.1 200 OK\r\n${headers}`;
  switch (kind) {
    case 'one-byte-chunks':
      return endless(`${head}${CHUNKED}\r\n`, ONE_BYTE_CHUNK);
    case 'continue-answers':
      return endless('', 'HTTP/1.1 100 Continue\r\n\r\n');
    case 'early-hints':
      return endless('', `HTTP/1.1 103 Early Hints\r\n${HEADER_LINE}\r\n`);
    case 'blank-lines':
      return endless('', '\r\n');
    case 'head-lines':
      return endless(head, HEADER_LINE);
    case 'head-line':
      return endless(`${head}X-More: `, 'x');
    case 'no-http':
      return endless('', 'this is no answer ');
    case 'chunk-extension':
      return endless(`${head}${CHUNKED}\r\n1;`, 'x');
    case 'trailers':
      return endless(`${head}${CHUNKED}\r\n0\r\n`, HEADER_LINE);
    case 'beyond-length':
      return endless(`${head}Content-Length: ${STATED_BYTES}\r\n\r\n`, 'x');
    case 'unasked-answers': {
      const answer = `${head}Content-Length: 1\r\n\r\nx`;
      return endless('', answer);
    }
    case 'until-close':
      return endless(`${head}\r\n`, 'x');
    case 'huge-length':
      return endless(`${head}Content-Length: ${HUGE_BYTES}\r\n\r\n`, 'x');
  }
}

/** @param headers Lines of the head that each request has, each with its end. */
export function buildEndlessRequest(
  kind: EndlessRequest,
  headers: string,
): EndlessBytes {
  const upload = `POST /order/1 HTTP/1.1\r\n${headers}${CHUNKED}\r\n`;
  const lookUp = `GET /rooms/1 HTTP/1.1\r\n${headers}`;
  switch (kind) {
    case 'upload-in-one-byte-chunks':
      return endless(upload, ONE_BYTE_CHUNK);
    case 'upload-with-chunk-extension':
      return endless(`${upload}1;`, 'x');
    case 'upload-with-trailers':
      return endless(`${upload}0\r\n`, HEADER_LINE);
    case 'blank-lines-ahead':
      return endless('', '\r\n');
    case 'head-lines-ahead':
      return endless(lookUp, HEADER_LINE);
    case 'requests-ahead':
      return endless('', `${lookUp}\r\n`);
  }
}

/**
 * Writes to the socket until it is closed or the limit is reached, as fast as
 * the other side reads.
 *
 * @param limit Default: none.
 */
export function writeEndless(
  socket: Socket,
  {beginning, repeated}: EndlessBytes,
  timers: TimerService,
  limit?: EndlessLimit,
): void {
  let bytesLeft = limit?.bytes ?? Infinity;
  socket.write(beginning);
  socket.on('drain', writeLater);
  writeBlocks();

  function writeLater(): void {
    // A peer that takes all at once would keep the event loop to itself.
    timers.atTurnEnd(writeBlocks);
  }

  function writeBlocks(): void {
    while (
      bytesLeft > 0 &&
      socket.writableLength < WRITTEN_AHEAD_BYTES &&
      !socket.destroyed &&
      !socket.writableEnded
    ) {
      const block = repeated.subarray(0, Math.min(bytesLeft, repeated.length));
      bytesLeft -= block.length;
      socket.write(block);
    }
    if (limit && bytesLeft === 0) {
      socket.off('drain', writeLater);
      socket.write(limit.ending);
    }
  }
}

function endless(beginning: string, repeated: string): EndlessBytes {
  const count = Math.ceil(BLOCK_BYTES / repeated.length);
  return {
    beginning: Buffer.from(beginning, 'latin1'),
    repeated: Buffer.from(repeated.repeat(count), 'latin1'),
  };
}
