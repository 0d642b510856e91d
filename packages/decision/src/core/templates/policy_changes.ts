/** Which leaves of the workspaces' policies differ between configurations. */
import type {
  Configuration,
  ServiceName,
  WorkspaceName,
} from '../model/index.js';

export interface PolicyChange {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  /** Such as `shift.capFraction`; empty when the whole service came or went. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

export function policyChanges(
  before: Configuration | undefined,
  after: Configuration,
): readonly PolicyChange[] {
  const changes: PolicyChange[] = [];
  const names = new Set([
    ...(before?.workspaces.keys() ?? []),
    ...after.workspaces.keys(),
  ]);
  for (const workspace of names) {
    const old = before?.workspaces.get(workspace);
    const now = after.workspaces.get(workspace);
    const services = new Set([...(old?.keys() ?? []), ...(now?.keys() ?? [])]);
    for (const service of services) {
      const place = {workspace, service};
      const oldPolicy = old?.get(service)?.policy;
      const newPolicy = now?.get(service)?.policy;
      if (!oldPolicy || !newPolicy) {
        const [one, other] = [describe(oldPolicy), describe(newPolicy)];
        changes.push({...place, path: '', before: one, after: other});
        continue;
      }
      for (const leaf of changedLeaves(oldPolicy, newPolicy, '')) {
        changes.push({...place, ...leaf});
      }
    }
  }
  return changes;
}

function describe(policy: unknown): string | undefined {
  return policy === undefined ? undefined : 'a policy';
}

export interface ChangedLeaf {
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/** Leaves that differ between two values of any shape. */
export function changedLeaves(
  before: unknown,
  after: unknown,
  path: string,
): readonly ChangedLeaf[] {
  if (!isBranch(before) || !isBranch(after)) {
    const same = JSON.stringify(before) === JSON.stringify(after);
    return same ? [] : [{path, before, after}];
  }
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  const leaves: ChangedLeaf[] = [];
  for (const key of keys) {
    const below = path ? `${path}.${key}` : key;
    leaves.push(...changedLeaves(before[key], after[key], below));
  }
  return leaves;
}

function isBranch(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null;
}
