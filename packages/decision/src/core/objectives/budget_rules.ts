/** Classifies requests and decides which of them spend the error budget. */
import {
  type RefusalReason,
  type RequestRecord,
  assertNever,
} from '../model/index.js';

/** Responses of a target with this status or a higher one count as failed. */
const FIRST_FAILED_STATUS = 500;

const SPENDS_ERROR_BUDGET: Readonly<Record<RefusalReason, boolean>> = {
  'unknown-workspace': false,
  'unknown-service': false,
  unauthenticated: false,
  'not-approved': false,
  'malformed-request': false,
  'request-too-large': false,
  'idempotency-key-missing': false,
  'idempotency-key-reused': false,
  'idempotency-key-in-use': false,
  'answer-not-kept': false,
  'deadline-too-short': false,
  'request-quarantined': false,
  'no-configuration': true,
  'configuration-stale': true,
  'claim-unavailable': true,
  'outcome-unknown': true,
  'deadline-expired': true,
  'region-full': true,
  'workspace-share-used': true,
  'shift-cap-reached': true,
  'link-budget-used': true,
  'no-healthy-target': true,
  'retry-budget-used': true,
  'target-failed': true,
  'vm-stopping': true,
  overloaded: true,
};

/** All refusal reasons; complete, because the Record type requires each. */
export const REFUSAL_REASONS = Object.keys(
  SPENDS_ERROR_BUDGET,
) as readonly RefusalReason[];

/**
 * Refusals caused by the caller (no approval, no key, a malformed request) are
 * reported, but spend no budget and do not count as requests. Unknown reasons
 * spend budget, because they may come from VMs of a newer version.
 */
export function spendsErrorBudget(reason: string): boolean {
  return SPENDS_ERROR_BUDGET[reason as RefusalReason] ?? true;
}

export type RequestRecordClass =
  | {readonly kind: 'answered' | 'failed' | 'unknown' | 'caller-gone'}
  | {readonly kind: 'refused'; readonly reason: RefusalReason};

export function classifyRequestRecord(
  record: RequestRecord,
): RequestRecordClass {
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
