/**
 * What this VM holds in its memory for callers, and which requests are begun
 * before their turn.
 */
import type {ServerResponse} from 'node:http';
import {
  type ByteAccount,
  type HoldLimits,
  type MemoryLevel,
  createAheadQueue,
  createByteBudget,
} from '@ibisbeam/decision';
import type {ClientAnswer, Logger, TimerService} from '@ibisbeam/library';
import {type HeldBuffer, createHeldBuffer} from './held_buffer.js';

export interface HeldMemory {
  /** Opens the memory of a request, until its answer has ended. */
  open(answer: Pick<ClientAnswer, 'onEnd'>): RequestMemory;
  /**
   * Calls `begin` once: at once if all earlier requests of its connection have
   * been answered or there is memory for its answer, otherwise when one of these
   * holds. Never calls it after the end of the answer.
   *
   * @param expectedBytes Held from then on until the answer has left.
   */
  beginInTurn(
    request: TurnRequest,
    expectedBytes: number,
    begin: () => void,
  ): void;
  level(): MemoryLevel;
  /** Length up to which answers are always held until they are whole. */
  bufferedAnswerBytes(): number;
  /** Which longer answers may be held, if that serves their callers. */
  holdLimits(): HoldLimits;
  heldBytes(): number;
  /** Those among them that are bodies of requests. */
  bodyBytes(): number;
  /** Number of requests that wait for their turn, or for memory. */
  waiting(): number;
}

/** What is held for one request until its answer has left. */
export interface RequestMemory extends ByteAccount {
  /**
   * Memory for the whole body of the request; undefined if it is short, so that
   * buffers of Node.js do as well.
   */
  openBody(byteCount: number): Buffer | undefined;
  /**
   * Keeps the body beyond the end of the answer, while it is written to a
   * target. Returns what ends this.
   */
  useBody(): () => void;
  /** Returns the chunks, which wait for their turn, as they are best kept. */
  keepAnswer(chunks: readonly Buffer[], byteCount: number): readonly Buffer[];
}

export interface TurnRequest {
  readonly outgoing: ServerResponse;
  readonly answer: Pick<ClientAnswer, 'onEnd'>;
  readonly memory: Pick<RequestMemory, 'reserve'>;
}

export interface HeldMemoryOptions {
  /** Memory that the process may use. */
  readonly memoryBytes: number;
  readonly timers: Pick<TimerService, 'after'>;
  readonly log: Logger;
}

/** Part of a VM's memory that may be held for callers. */
const HELD_MEMORY_FRACTION = 0.2;
/** Part of that which one answer may take. */
const HELD_ANSWER_FRACTION = 0.05;
/** Longer answers take a while to leave, and clients may send more meanwhile. */
export const LONG_ANSWER_BYTES = 262_144;
/** Shorter ones are not worth memory of their own. */
const MINIMUM_HELD_BUFFER_BYTES = 16_384;
/** As `LONG_ANSWER_BYTES`, while memory is near its bound. */
const MAXIMUM_BUFFERED_NEAR_BYTES = 32_768;

export function createHeldMemory({
  memoryBytes,
  timers,
  log,
}: HeldMemoryOptions): HeldMemory {
  const budget = createByteBudget(() => memoryBytes * HELD_MEMORY_FRACTION);
  const queue = createAheadQueue();
  let isOfferDue = false;

  /** Deferred, because accounts close while connections are visited. */
  function offerSoon(): void {
    if (isOfferDue || queue.waiting() === 0) {
      return;
    }
    isOfferDue = true;
    timers.after(0, () => {
      isOfferDue = false;
      queue.offer();
    });
  }

  function open(answer: Pick<ClientAnswer, 'onEnd'>): RequestMemory {
    const memory = createRequestMemory(budget.open());
    answer.onEnd(() => {
      memory.close();
      offerSoon();
    });
    return memory;
  }

  function beginInTurn(
    {outgoing, answer, memory}: TurnRequest,
    expectedBytes: number,
    begin: () => void,
  ): void {
    const waitedBefore = queue.waiting();
    const waiting = queue.add({
      // Node.js gives a response its socket when it is its turn.
      isInTurn: outgoing.socket !== null,
      reserve: () => memory.reserve(expectedBytes),
      begin,
    });
    if (waitedBefore === 0 && queue.waiting() > 0) {
      log.log('info', 'memory-near', {heldBytes: budget.heldBytes()});
    }
    if (outgoing.socket === null) {
      outgoing.once('socket', waiting.takeTurn);
    }
    answer.onEnd(waiting.remove);
  }

  return {
    open,
    beginInTurn,
    level: budget.level,
    bufferedAnswerBytes: () =>
      budget.level() === 'room'
        ? LONG_ANSWER_BYTES
        : MAXIMUM_BUFFERED_NEAR_BYTES,
    holdLimits: () => ({
      hasRoom: budget.level() === 'room',
      maximumBytes: memoryBytes * HELD_MEMORY_FRACTION * HELD_ANSWER_FRACTION,
    }),
    heldBytes: budget.heldBytes,
    bodyBytes: budget.takenBytes,
    waiting: queue.waiting,
  };
}

function createRequestMemory(account: ByteAccount): RequestMemory {
  let body: HeldBuffer | undefined;
  let bodyUsers = 0;
  const answers: HeldBuffer[] = [];
  let isClosed = false;

  function releaseUnusedBody(): void {
    if (isClosed && bodyUsers === 0) {
      body?.release();
      body = undefined;
    }
  }

  return {
    ...account,
    openBody: byteCount => {
      if (isClosed || byteCount < MINIMUM_HELD_BUFFER_BYTES) {
        return undefined;
      }
      body = createHeldBuffer(byteCount);
      return body.bytes;
    },
    useBody: () => {
      let isUsed = true;
      bodyUsers += 1;
      return () => {
        if (isUsed) {
          isUsed = false;
          bodyUsers -= 1;
          releaseUnusedBody();
        }
      };
    },
    keepAnswer: (chunks, byteCount) => {
      if (isClosed || byteCount < MINIMUM_HELD_BUFFER_BYTES) {
        return chunks;
      }
      const held = createHeldBuffer(byteCount);
      answers.push(held);
      let offset = 0;
      for (const chunk of chunks) {
        offset += chunk.copy(held.bytes, offset);
      }
      return [held.bytes];
    },
    close: () => {
      isClosed = true;
      account.close();
      for (const answer of answers.splice(0)) {
        answer.release();
      }
      releaseUnusedBody();
    },
  };
}
