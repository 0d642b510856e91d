/**
 * Bounds the bytes and the work that are spent on reading one answer, by how
 * much of it is payload. An answer is parsed in slices, between which it can be
 * given up; they grow while its bytes are payload for the most part.
 *
 * Load pattern: targets that send interim answers, blank lines or very short
 * chunks without end in place of an answer.
 */
import {createPieceMeter} from '../memory/index.js';

/**
 * - `interim-answers`: more answers with a status of 1xx than a request has use
 *   for.
 * - `long-head`: no final head within the bytes that one may take.
 * - `short-pieces`: the body is framing for the most part.
 */
export type AnswerExcess = 'interim-answers' | 'long-head' | 'short-pieces';

export interface AnswerMeter {
  /** Length of the next slice to parse. */
  sliceBytes(): number;
  /** @param bytes All bytes that have been parsed. */
  recordParsed(bytes: number): AnswerExcess | undefined;
  recordInterimAnswer(): AnswerExcess | undefined;
  /** The final head is complete. */
  recordHead(): void;
  /** Records a piece of the body. */
  recordPiece(bytes: number): AnswerExcess | undefined;
}

/** Holds the head of an answer, and all of a short one. */
const FIRST_SLICE_BYTES = 2_048;
const SLICE_GROWTH = 4;
/** Sound servers send one or two of them. */
const MAXIMUM_INTERIM_ANSWERS = 8;
/** Interim answers and blank lines may take as much as the final head. */
const HEAD_LIMITS_BEFORE_BODY = 2;
/** Framing of a body beyond its payload. */
const FREE_FRAMING_BYTES = 65_536;

/** @param maximumHeadBytes Length of the longest head. */
export function createAnswerMeter(maximumHeadBytes: number): AnswerMeter {
  const pieceMeter = createPieceMeter();
  const maximumBytesBeforeBody = HEAD_LIMITS_BEFORE_BODY * maximumHeadBytes;
  let parsedBytes = 0;
  let payloadBytes = 0;
  let interimAnswers = 0;
  let hasHead = false;

  return {
    sliceBytes: () =>
      payloadBytes * 2 >= parsedBytes
        ? Math.max(FIRST_SLICE_BYTES, payloadBytes * SLICE_GROWTH)
        : FIRST_SLICE_BYTES,
    recordParsed: bytes => {
      parsedBytes = bytes;
      if (!hasHead) {
        return parsedBytes > maximumBytesBeforeBody ? 'long-head' : undefined;
      }
      const framingBytes = parsedBytes - payloadBytes;
      return framingBytes > payloadBytes + FREE_FRAMING_BYTES
        ? 'short-pieces'
        : undefined;
    },
    recordInterimAnswer: () => {
      interimAnswers += 1;
      return interimAnswers > MAXIMUM_INTERIM_ANSWERS
        ? 'interim-answers'
        : undefined;
    },
    recordHead: () => {
      hasHead = true;
    },
    recordPiece: bytes => {
      payloadBytes += bytes;
      return pieceMeter.record(bytes) ? undefined : 'short-pieces';
    },
  };
}
