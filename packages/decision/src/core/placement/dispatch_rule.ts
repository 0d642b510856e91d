/**
 * Decides whether a request is sent to its best target now, held for a short
 * time until a slot is free, or refused. Under overload, first come, first
 * served would delay every response beyond its objective, although the slots
 * suffice to serve a part of the requests in time.
 */

/** How a request relates to its latency objective. */
export type Urgency =
  /** Meets its objective if sent now. */
  | 'in-time'
  /** A client's retry after a refusal; another refusal would be worst. */
  | 'retry'
  /** Misses its objective in any case. */
  | 'late';

export interface DispatchInput {
  /** Expected time until the response, if sent now. */
  readonly expectedMs: number;
  /** Part of `expectedMs` spent waiting for a slot at the target. */
  readonly waitMs: number;
  /** Part of `waitMs` due to requests that are known to be at the target. */
  readonly queueMs: number;
  readonly objectiveMs: number;
  /** Time left until the latency objective; negative once it has passed. */
  readonly objectiveLeftMs: number;
  /** Time left until the deadline set by the client or the route. */
  readonly deadlineLeftMs: number;
  /** Time since the request arrived at this VM. */
  readonly heldMs: number;
  /** Time left until the deadline when the request arrived. */
  readonly clientTimeoutMs: number;
  /** Whether this request is a client's retry after a refusal. */
  readonly isRetry: boolean;
  /** Whether requests of a more urgent priority wait for the service. */
  readonly isOutranked: boolean;
  /** Whether the targets of the service have no free slots on the average. */
  readonly isContended: boolean;
  /** Whether its target is expected to have the affinity key in its cache. */
  readonly isWarm: boolean;
}

export type RefusalCause =
  /** The request is expected to run past its deadline, even at a free slot. */
  | 'too-slow'
  /** As `too-slow`, after the request has waited for most of its time. */
  | 'too-late'
  /** The slots are taken, or left to requests that are in time. */
  | 'no-slot';

export type DispatchDecision =
  | {readonly kind: 'send'; readonly urgency: Urgency}
  | {readonly kind: 'hold'; readonly urgency: Urgency}
  | {readonly kind: 'refuse'; readonly because: RefusalCause};

/** Fraction of the client's timeout for which a late request is held. */
const HOLD_FRACTION = 0.06;
/**
 * A retried request may wait at the target for this fraction of the objective,
 * so that the queue stays short enough for others to meet theirs.
 */
const RETRY_WAIT_FRACTION = 0.6;

/** Longest time for which a late request is held before it is refused. */
export function maximumHoldMs(clientTimeoutMs: number): number {
  return clientTimeoutMs * HOLD_FRACTION;
}

/** Time that must be left to the objective after a request has yielded. */
const YIELD_MARGIN_MS = 50;

/** Whether a request can leave a slot to more urgent ones and be in time. */
function canYield(input: DispatchInput): boolean {
  const leftMs = input.objectiveLeftMs - input.expectedMs;
  return (
    input.isOutranked &&
    !input.isRetry &&
    leftMs > YIELD_MARGIN_MS &&
    input.heldMs < maximumHoldMs(input.clientTimeoutMs)
  );
}

/**
 * Whether a request that can only be late would take a slot for the time that
 * several others need to be in time.
 *
 * Load pattern: a burst, or a zone that is emptied, on a service whose targets
 * remember keys. Runs without the key in the cache take several times as long,
 * fill the slots, and drive further keys to targets that do not have them.
 */
function isPoorUseOfSlot(input: DispatchInput): boolean {
  return input.isContended && !input.isWarm && !input.isRetry;
}

export function decideDispatch(input: DispatchInput): DispatchDecision {
  const {expectedMs, waitMs, deadlineLeftMs} = input;
  if (expectedMs <= input.objectiveLeftMs) {
    // It queues behind those that it leaves the slot to.
    return canYield(input)
      ? {kind: 'hold', urgency: 'late'}
      : {kind: 'send', urgency: 'in-time'};
  }
  if (expectedMs - waitMs > deadlineLeftMs) {
    const hasMostOfItsTime = deadlineLeftMs * 2 >= input.clientTimeoutMs;
    return {
      kind: 'refuse',
      because: hasMostOfItsTime ? 'too-slow' : 'too-late',
    };
  }
  const urgency: Urgency = input.isRetry ? 'retry' : 'late';
  if (isPoorUseOfSlot(input)) {
    return input.heldMs < maximumHoldMs(input.clientTimeoutMs)
      ? {kind: 'hold', urgency}
      : {kind: 'refuse', because: 'no-slot'};
  }
  // `waitMs` may be positive only because past responses were slow; without
  // queued requests the target still has a free slot.
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
  return {kind: 'refuse', because: 'no-slot'};
}
