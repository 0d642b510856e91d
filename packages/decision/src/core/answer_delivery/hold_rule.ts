/**
 * Decides whether a long answer is held until it is whole, or passed on while it
 * is read. One that is held and breaks off can be had from another target, or be
 * replaced by an error. One whose head has left can only end its connection, and
 * takes the answers behind it along.
 *
 * Load pattern: callers that send requests ahead, and targets that break off some
 * of their long answers.
 */
export interface LongAnswer {
  /** Memory that takes what has been read of its body. */
  readonly heldBytes: number;
  /** Length of its body as its head states it. */
  readonly statedBytes: number | undefined;
  /** Whether all earlier requests of its connection have been answered. */
  readonly isInTurn: boolean;
  /** Requests of the connection that were read after this one. */
  readonly requestsBehind: number;
  /** Since it became long. */
  readonly heldMs: number;
  /** Until its caller, or its route, gives up. */
  readonly timeLeftMs: number;
}

export interface HoldLimits {
  /** Whether there is room to hold answers that need not be held. */
  readonly hasRoom: boolean;
  /** Length of the longest answer that may be held. */
  readonly maximumBytes: number;
}

/**
 * - `hold`: read on until the answer is whole.
 * - `stream`: pass on what has been read, and the rest as it comes.
 */
export type LongAnswerDelivery = 'hold' | 'stream';

/** By which the first bytes of an answer may come later than they could. */
export const MAXIMUM_FIRST_BYTE_DELAY_MS = 25;

export function decideLongAnswer(
  answer: LongAnswer,
  limits: HoldLimits,
): LongAnswerDelivery {
  const {heldBytes, statedBytes = 0, isInTurn, requestsBehind} = answer;
  const bytes = Math.max(heldBytes, statedBytes);
  if (!limits.hasRoom || bytes > limits.maximumBytes) {
    return 'stream';
  }
  if (answer.timeLeftMs <= 0) {
    return 'stream';
  }
  // Nobody waits for its first bytes, or others depend on its end.
  if (!isInTurn || requestsBehind > 0) {
    return 'hold';
  }
  return answer.heldMs < MAXIMUM_FIRST_BYTE_DELAY_MS ? 'hold' : 'stream';
}
