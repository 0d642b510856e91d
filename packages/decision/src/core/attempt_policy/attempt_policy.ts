/**
 * What follows from the end of one attempt at a target: the answer is
 * delivered, another target is tried, or the request fails. Only a request
 * that provably has not run may end in a refusal that says so.
 */
import type {RouteKind} from '../route_table/index.js';

export type AttemptOutcome =
  /** A whole answer of the target to this request. */
  | {readonly kind: 'answered'; readonly status: number}
  /** The target states that it has not run the request. */
  | {readonly kind: 'not-executed'; readonly status: number}
  /** No byte of the request has left this VM. */
  | {readonly kind: 'not-sent'; readonly cause: string}
  /** The answer is missing, cut short, foreign or unreadable. */
  | {readonly kind: 'broken'; readonly cause: string};

export interface AttemptHistory {
  readonly routeKind: RouteKind;
  readonly maximumAttempts: number;
  /** Attempts that may have run, the one that has ended included. */
  readonly possiblyRun: number;
  /** Attempts of any outcome. */
  readonly tried: number;
  /** The whole request body is still at hand. */
  readonly replayable: boolean;
  readonly timeLeftMs: number;
}

export type NextStep =
  | {readonly kind: 'deliver'}
  | {readonly kind: 'try-another'; readonly costsBudget: boolean}
  /** 502: may have run; 503: has not run and never will. */
  | {readonly kind: 'fail'; readonly status: 502 | 503};

/** Attempts of any outcome for one request. */
const MAXIMUM_TRIES = 4;
/** A further attempt with less time than this could not be answered. */
const MINIMUM_ATTEMPT_TIME_MS = 30;

/** Statuses that promise that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export function isRetryable(kind: RouteKind): boolean {
  switch (kind) {
    case 'idempotent':
    case 'download':
      return true;
    case 'non-idempotent':
      return false;
  }
}

export function nextStep(
  outcome: AttemptOutcome,
  history: AttemptHistory,
): NextStep {
  switch (outcome.kind) {
    case 'answered':
      return afterAnswer(outcome.status, history);
    case 'not-executed':
      return canTryAgain(history)
        ? {kind: 'try-another', costsBudget: true}
        : failure(history);
    case 'not-sent':
      return canTryAgain(history)
        ? {kind: 'try-another', costsBudget: false}
        : failure(history);
    case 'broken':
      return isRetryable(history.routeKind) && canRunAgain(history)
        ? {kind: 'try-another', costsBudget: true}
        : {kind: 'fail', status: 502};
  }
}

function afterAnswer(status: number, history: AttemptHistory): NextStep {
  if (status < 500 && !NOT_RUN_STATUSES.has(status)) {
    return {kind: 'deliver'};
  }
  if (isRetryable(history.routeKind) && canRunAgain(history)) {
    return {kind: 'try-another', costsBudget: true};
  }
  // Passed on as it is, the status would promise that nothing has run.
  if (NOT_RUN_STATUSES.has(status)) {
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

function canRunAgain(history: AttemptHistory): boolean {
  return canTryAgain(history) && history.possiblyRun < history.maximumAttempts;
}

function failure(history: AttemptHistory): NextStep {
  return {kind: 'fail', status: history.possiblyRun > 0 ? 502 : 503};
}
