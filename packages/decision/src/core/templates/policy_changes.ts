/** Differences between the workspace policies of two configurations. */
import type {
  Configuration,
  ServiceName,
  WorkspaceName,
} from '../model/index.js';

export interface PolicyChange {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  /** Such as `shift.capFraction`; empty if the service was added or removed. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

export function findPolicyChanges(
  before: Configuration | undefined,
  after: Configuration,
): readonly PolicyChange[] {
  const changes: PolicyChange[] = [];
  const names = new Set([
    ...(before?.workspaces.keys() ?? []),
    ...after.workspaces.keys(),
  ]);
  for (const workspace of names) {
    const oldServices = before?.workspaces.get(workspace);
    const newServices = after.workspaces.get(workspace);
    const services = new Set([
      ...(oldServices?.keys() ?? []),
      ...(newServices?.keys() ?? []),
    ]);
    for (const service of services) {
      const key = {workspace, service};
      const oldPolicy = oldServices?.get(service)?.policy;
      const newPolicy = newServices?.get(service)?.policy;
      if (!oldPolicy || !newPolicy) {
        const [one, other] = [describe(oldPolicy), describe(newPolicy)];
        changes.push({...key, path: '', before: one, after: other});
        continue;
      }
      for (const leaf of findChangedLeaves(oldPolicy, newPolicy, '')) {
        changes.push({...key, ...leaf});
      }
    }
  }
  return changes;
}

function describe(policy: unknown): string | undefined {
  return policy === undefined ? undefined : 'a policy';
}

export interface ChangedLeaf {
  /** Keys joined by dots; empty if the compared values are the leaf. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/** Compares two JSON-like values; returns the leaves that differ. */
export function findChangedLeaves(
  before: unknown,
  after: unknown,
  path: string,
): readonly ChangedLeaf[] {
  if (!isObject(before) || !isObject(after)) {
    const same = JSON.stringify(before) === JSON.stringify(after);
    return same ? [] : [{path, before, after}];
  }
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  const leaves: ChangedLeaf[] = [];
  for (const key of keys) {
    const childPath = path ? `${path}.${key}` : key;
    leaves.push(...findChangedLeaves(before[key], after[key], childPath));
  }
  return leaves;
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null;
}
