/** Approval look-up: a calling team may call only services that approved it. */
import type {
  Approval,
  ServiceName,
  TeamName,
  WorkspaceName,
} from '../model/index.js';

/** `absent`: the team never requested approval. */
export type ApprovalStatus = Approval['state'] | 'absent';

export interface ApprovalKey {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly callingTeam: TeamName;
}

export interface ApprovalIndex {
  statusOf(key: ApprovalKey): ApprovalStatus;
}

/** Index for the request path; built once per configuration. */
export function indexApprovals(approvals: readonly Approval[]): ApprovalIndex {
  const states = new Map<string, Approval['state']>();
  for (const approval of approvals) {
    states.set(serializeKey(approval), approval.state);
  }
  return {statusOf: key => states.get(serializeKey(key)) ?? 'absent'};
}

/** Linear search for single look-ups; the request path uses an index. */
export function isApproved(
  approvals: readonly Approval[],
  key: ApprovalKey,
): boolean {
  return findApproval(approvals, key)?.state === 'approved';
}

export function findApproval(
  approvals: readonly Approval[],
  key: ApprovalKey,
): Approval | undefined {
  const wanted = serializeKey(key);
  let found: Approval | undefined;
  for (const approval of approvals) {
    if (serializeKey(approval) === wanted) {
      found = approval;
    }
  }
  return found;
}

/** Names contain no spaces, so the joined key is unique. */
function serializeKey(key: ApprovalKey): string {
  return `${key.workspace} ${key.service} ${key.callingTeam}`;
}
