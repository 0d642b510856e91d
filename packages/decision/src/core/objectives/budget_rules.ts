/** Which requests count, and which of them spend the error budget. */
import {
  type RefusalReason,
  type RequestRecord,
  assertNever,
} from '../model/index.js';

/** Status from which an answer of a target counts as failed. */
const FIRST_FAILED_STATUS = 500;

/**
 * Refusals that the caller brought about (no approval, no key, a malformed
 * request) are shown, but spend no budget and do not count as requests.
 */
export function spendsBudget(reason: RefusalReason): boolean {
  switch (reason) {
    case 'unknown-workspace':
    case 'unknown-service':
    case 'unauthenticated':
    case 'not-approved':
    case 'malformed-request':
    case 'request-too-large':
    case 'idempotency-key-missing':
    case 'idempotency-key-reused':
    case 'idempotency-key-in-use':
    case 'deadline-too-short':
    case 'request-quarantined':
      return false;
    case 'no-configuration':
    case 'configuration-stale':
    case 'claim-unavailable':
    case 'outcome-unknown':
    case 'deadline-expired':
    case 'region-full':
    case 'workspace-share-used':
    case 'shift-cap-reached':
    case 'link-budget-used':
    case 'no-healthy-target':
    case 'retry-budget-used':
    case 'target-failed':
    case 'vm-stopping':
    case 'overloaded':
      return true;
    default:
      return assertNever(reason);
  }
}

export type RecordClass =
  | {readonly kind: 'answered' | 'failed' | 'unknown' | 'caller-gone'}
  | {readonly kind: 'refused'; readonly reason: RefusalReason};

export function classifyRecord(record: RequestRecord): RecordClass {
  switch (record.result) {
    case 'answered':
      return {
        kind: record.status >= FIRST_FAILED_STATUS ? 'failed' : 'answered',
      };
    case 'unknown':
      return {kind: 'unknown'};
    case 'caller-gone':
      return {kind: 'caller-gone'};
    case 'refused':
      return {kind: 'refused', reason: record.refusal ?? 'overloaded'};
    default:
      return assertNever(record.result);
  }
}
