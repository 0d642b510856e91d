/**
 * Decides whether a request goes to its best target now, waits a little for a
 * free slot, or is refused. Answers the pattern of more work than slots:
 * first come, first served then makes every answer late, while the slots
 * could answer a part of the requests in time.
 */

/** How a request stands towards its latency objective. */
export type Urgency =
  /** Can be answered within its objective if sent now. */
  | 'in-time'
  /** Was refused before and came back as told; a second refusal is worst. */
  | 'retry'
  /** Will be late whatever happens. */
  | 'late';

export interface DispatchInput {
  /** Expected time until the answer, if sent now. */
  readonly expectedMs: number;
  /** Of that, the wait for a slot at the target. */
  readonly waitMs: number;
  /** Of the wait, what the requests known to be at the target need. */
  readonly queueMs: number;
  readonly objectiveMs: number;
  /** Until the latency objective; negative when it has passed. */
  readonly objectiveLeftMs: number;
  /** Until the client or the route gives up. */
  readonly deadlineLeftMs: number;
  /** Since the request came to this VM. */
  readonly heldMs: number;
  /** What the client had left when it came. */
  readonly clientTimeoutMs: number;
  readonly isRetry: boolean;
}

export type DispatchDecision =
  | {readonly kind: 'send'; readonly urgency: Urgency}
  | {readonly kind: 'hold'; readonly urgency: Urgency}
  | {readonly kind: 'refuse'};

/** Part of a client's patience for which a late request waits for a slot. */
const HOLD_FRACTION = 0.06;
/**
 * A returned request may wait at the target for this part of the objective,
 * so that the queue stays short enough for others to be in time.
 */
const RETRY_WAIT_FRACTION = 0.6;

/** How long a request that will be late waits for a slot before its refusal. */
export function maximumHoldMs(clientTimeoutMs: number): number {
  return clientTimeoutMs * HOLD_FRACTION;
}

export function decideDispatch(input: DispatchInput): DispatchDecision {
  const {expectedMs, waitMs, deadlineLeftMs} = input;
  if (expectedMs <= input.objectiveLeftMs) {
    return {kind: 'send', urgency: 'in-time'};
  }
  if (expectedMs - waitMs > deadlineLeftMs) {
    return {kind: 'refuse'};
  }
  const urgency: Urgency = input.isRetry ? 'retry' : 'late';
  // That past answers were a little late says nothing of the slots now free.
  if (input.queueMs <= 0) {
    return {kind: 'send', urgency};
  }
  if (
    input.isRetry &&
    waitMs <= input.objectiveMs * RETRY_WAIT_FRACTION &&
    expectedMs <= deadlineLeftMs
  ) {
    return {kind: 'send', urgency};
  }
  if (input.heldMs < maximumHoldMs(input.clientTimeoutMs)) {
    return {kind: 'hold', urgency};
  }
  return {kind: 'refuse'};
}
