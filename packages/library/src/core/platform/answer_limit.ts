/** Ends calls whose answers go on without end. */
import type {ClientRequest} from 'node:http';
import type {Progress} from 'got';

export type AnswerFault =
  'blank-lines' | 'interim-answers' | 'long-body' | 'short-pieces';

/** The part of a call that a limit needs. */
export interface LimitedCall {
  on(event: 'request', listener: (request: ClientRequest) => void): unknown;
  on(
    event: 'downloadProgress',
    listener: (progress: Progress) => void,
  ): unknown;
  cancel(): void;
}

const MAXIMUM_ANSWER_BYTES = 16_777_216;
const MAXIMUM_INTERIM_ANSWERS = 8;
/** Heads, and what has been read but not taken yet. */
const FREE_RAW_BYTES = 1_048_576;
/** Framing may take as much again as what it frames. */
const MAXIMUM_FRAMING_RATIO = 2;

/** Cancels the call at a limit; the returned function tells at which. */
export function limitAnswer(call: LimitedCall): () => AnswerFault | undefined {
  let fault: AnswerFault | undefined;
  let hasHead = false;
  let rawBytes = 0;
  let bodyBytes = 0;
  let interimAnswers = 0;

  function refuse(found: AnswerFault): void {
    if (!fault) {
      fault = found;
      call.cancel();
    }
  }

  function onRawBytes(chunk: Buffer): void {
    rawBytes += chunk.length;
    if (rawBytes > FREE_RAW_BYTES + MAXIMUM_FRAMING_RATIO * bodyBytes) {
      refuse(hasHead ? 'short-pieces' : 'blank-lines');
    }
  }

  call.on('request', request => {
    request.on('socket', socket => {
      socket.on('data', onRawBytes);
      request.once('close', () => socket.removeListener('data', onRawBytes));
    });
    request.on('response', () => {
      hasHead = true;
    });
    request.on('information', () => {
      interimAnswers += 1;
      if (interimAnswers > MAXIMUM_INTERIM_ANSWERS) {
        refuse('interim-answers');
      }
    });
  });
  call.on('downloadProgress', ({transferred, total = 0}) => {
    bodyBytes = transferred;
    if (Math.max(transferred, total) > MAXIMUM_ANSWER_BYTES) {
      refuse('long-body');
    }
  });
  return () => fault;
}
