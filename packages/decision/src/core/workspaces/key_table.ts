/** Which workspace an API key belongs to. */
import type {Workspace} from '../route_table/index.js';

export interface KeyTable {
  /** @param keyDigest As made by the table's digest function. */
  find(keyDigest: string): Workspace | undefined;
  byName(name: string): Workspace | undefined;
}

/**
 * @param digest A keyed hash: what a look-up compares tells nothing of how near
 *     a guess comes to a key.
 */
export function createKeyTable(
  workspaces: readonly Workspace[],
  digest: (apiKey: string) => string,
): KeyTable {
  const byDigest = new Map<string, Workspace>();
  const byName = new Map<string, Workspace>();
  for (const workspace of workspaces) {
    byName.set(workspace.name, workspace);
    for (const apiKey of workspace.apiKeys) {
      byDigest.set(digest(apiKey), workspace);
    }
  }
  return {
    find: keyDigest => byDigest.get(keyDigest),
    byName: name => byName.get(name),
  };
}
