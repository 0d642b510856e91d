/**
 * Decides what follows from the outcome of an attempt: the response is
 * delivered, another target is tried, or the request fails. Only a request that
 * certainly has not been executed may fail with a status that says so.
 */
import type {RouteKind} from '../route_table/index.js';

export type AttemptOutcome =
  /** The target sent a complete response to this request. */
  | {readonly kind: 'answered'; readonly status: number}
  /** The target states that it has not executed the request. */
  | {readonly kind: 'not-executed'; readonly status: number}
  /** No byte of the request was sent. */
  | {readonly kind: 'not-sent'; readonly cause: string}
  /** Not sent, because the target wants no more requests for now. */
  | {readonly kind: 'withheld'; readonly cause: string}
  /** No message to a target can hold the request; none is at fault. */
  | {readonly kind: 'unsendable'; readonly cause: string}
  /** The response is missing, truncated, malformed or for another request. */
  | {
      readonly kind: 'broken';
      readonly cause: string;
      /** Whether the VM reads it no further, while its target still sends. */
      readonly isRefused?: boolean;
    };

export interface AttemptHistory {
  readonly routeKind: RouteKind;
  readonly maximumAttempts: number;
  /** Attempts that may have been executed, including the one that ended. */
  readonly possiblyExecuted: number;
  /** All attempts so far, including those that were not executed. */
  readonly tried: number;
  /** Whether the whole request body is still buffered. */
  readonly replayable: boolean;
  readonly timeLeftMs: number;
}

export type NextStep =
  | {readonly kind: 'deliver'}
  /** `costsBudget`: whether the attempt counts against the retry budget. */
  | {readonly kind: 'try-another'; readonly costsBudget: boolean}
  /** 502: it may have been executed; 503: it was not and will not be. */
  | {readonly kind: 'fail'; readonly status: 502 | 503};

/** Limit of attempts per request, including those that were not executed. */
const MAXIMUM_TRIES = 4;
/** With less time left, a further attempt could not be answered in time. */
const MINIMUM_ATTEMPT_TIME_MS = 30;

/** Statuses that tell the client that the request was not executed. */
export const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

export function isRetryable(kind: RouteKind): boolean {
  switch (kind) {
    case 'idempotent':
    case 'download':
      return true;
    case 'non-idempotent':
      return false;
  }
}

export function decideNextStep(
  outcome: AttemptOutcome,
  history: AttemptHistory,
): NextStep {
  switch (outcome.kind) {
    case 'answered':
      return afterResponse(outcome.status, history);
    case 'not-executed':
      return canTryAgain(history)
        ? {kind: 'try-another', costsBudget: true}
        : failure(history);
    case 'not-sent':
    case 'withheld':
      return canTryAgain(history)
        ? {kind: 'try-another', costsBudget: false}
        : failure(history);
    case 'unsendable':
      return failure(history);
    case 'broken':
      return isRetryable(history.routeKind) && canExecuteAgain(history)
        ? {kind: 'try-another', costsBudget: true}
        : {kind: 'fail', status: 502};
  }
}

function afterResponse(status: number, history: AttemptHistory): NextStep {
  if (status < 500 && !NOT_EXECUTED_STATUSES.has(status)) {
    return {kind: 'deliver'};
  }
  if (isRetryable(history.routeKind) && canExecuteAgain(history)) {
    return {kind: 'try-another', costsBudget: true};
  }
  // Delivered unchanged, the status would wrongly tell the client that the
  // request was not executed.
  if (NOT_EXECUTED_STATUSES.has(status)) {
    return {kind: 'fail', status: 502};
  }
  return {kind: 'deliver'};
}

function canTryAgain(history: AttemptHistory): boolean {
  return (
    history.replayable &&
    history.tried < MAXIMUM_TRIES &&
    history.timeLeftMs >= MINIMUM_ATTEMPT_TIME_MS
  );
}

function canExecuteAgain(history: AttemptHistory): boolean {
  return (
    canTryAgain(history) && history.possiblyExecuted < history.maximumAttempts
  );
}

function failure(history: AttemptHistory): NextStep {
  return {kind: 'fail', status: history.possiblyExecuted > 0 ? 502 : 503};
}
