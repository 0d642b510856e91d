/** Maps claim decisions other than `run` to refusals. */
import {type ClaimDecision, assertNever} from '@ibisbeam/decision';
import type {Refusal} from '../../core/http/index.js';

type NotGranted = Exclude<ClaimDecision, {kind: 'run'}>;

/** @returns Undefined if the recorded response can be replayed. */
export function buildClaimRefusal(decision: NotGranted): Refusal | undefined {
  switch (decision.kind) {
    case 'replay':
      return replayRefusal(decision.answer);
    case 'in-progress':
      return {
        reason: 'idempotency-key-in-use',
        outcome: 'unknown',
        retryAfterMs: decision.retryAfterMs,
      };
    case 'outcome-unknown':
      return {reason: 'outcome-unknown', outcome: 'unknown'};
    case 'key-reused':
      return {reason: 'idempotency-key-reused', outcome: 'not-run'};
    case 'unavailable':
      return {
        reason: 'claim-unavailable',
        outcome: decision.outcome,
        retryAfterMs: decision.retryAfterMs,
      };
    default:
      return assertNever(decision);
  }
}

function replayRefusal(
  answer: Extract<NotGranted, {kind: 'replay'}>['answer'],
): Refusal | undefined {
  if (answer.bodyBase64 !== undefined) {
    return undefined;
  }
  return {
    reason: 'answer-not-kept',
    outcome: 'unknown',
    detail: `it was answered with status ${answer.status}`,
  };
}
