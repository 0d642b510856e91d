/**
 * Decides what follows from the outcome of a relayed request. A peer's own
 * status is as true as one that this VM would send.
 */
import {
  type AttemptHistory,
  type AttemptOutcome,
  NOT_EXECUTED_STATUSES,
  decideNextStep,
} from '../attempt_policy/index.js';

export type RelayOutcome =
  | AttemptOutcome
  /** The peer states that the request failed and may have been executed. */
  | {readonly kind: 'failed-at-peer'; readonly status: number};

export type RelayStep =
  | {readonly kind: 'deliver'}
  /** `costsBudget`: whether the attempt counts against the retry budget. */
  | {readonly kind: 'try-another'; readonly costsBudget: boolean}
  /** 502, 504: it may have been executed; 503: it was not and will not be. */
  | {readonly kind: 'fail'; readonly status: 502 | 503 | 504};

/** @param isSealed Whether the answer bears the seal of a target. */
export function classifyPeerAnswer(
  status: number,
  isSealed: boolean,
): RelayOutcome {
  if (isSealed) {
    return {kind: 'answered', status};
  }
  if (NOT_EXECUTED_STATUSES.has(status)) {
    return {kind: 'not-executed', status};
  }
  if (status >= 500) {
    return {kind: 'failed-at-peer', status};
  }
  if (status >= 400) {
    return {kind: 'answered', status};
  }
  return {kind: 'broken', cause: `a ${status} without the seal of a target`};
}

/** @param history Its `tried` counts only the peers. */
export function decideAfterRelay(
  outcome: RelayOutcome,
  history: AttemptHistory,
): RelayStep {
  switch (outcome.kind) {
    case 'answered':
      // The peer has already made the further attempts that were allowed.
      return {kind: 'deliver'};
    case 'failed-at-peer':
      // The peer may have used all attempts of the route.
      return {kind: 'fail', status: outcome.status === 504 ? 504 : 502};
    case 'not-executed':
    case 'not-sent':
    case 'withheld':
    case 'unsendable':
    case 'broken':
      return decideNextStep(outcome, history);
  }
}
