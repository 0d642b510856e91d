/**
 * Bounded queue of the requests that wait for a slot of a pool. Higher
 * priorities are served first, and within a priority the workspace that
 * occupies the fewest slots. When the queue is full, an entry of the lowest
 * priority is evicted, from the workspace with the most entries.
 */
import type {RequestId, WorkspaceName} from '../model/index.js';

export interface QueueEntry {
  readonly request: RequestId;
  readonly workspace: WorkspaceName;
  /** Higher values are served first. */
  readonly priority: number;
  /** Time at which the entry expires, on the clock of `takeExpired`. */
  readonly deadlineMs: number;
}

export interface RequestQueue {
  /**
   * Adds the entry. Returns the evicted entry, which may be the new one, or
   * undefined if the queue was not full.
   *
   * @param capacity Largest number of entries after the call.
   */
  enqueue(entry: QueueEntry, capacity: number): QueueEntry | undefined;
  /**
   * Returns the entry to serve next and leaves it in the queue.
   *
   * @param occupiedBy Number of slots that a workspace occupies.
   */
  peek(
    occupiedBy: (workspace: WorkspaceName) => number,
  ): QueueEntry | undefined;
  /** Returns false if the request is not in the queue. */
  remove(request: RequestId): boolean;
  /** Number of entries that have this priority or a higher one. */
  countAhead(priority: number): number;
  /** Removes and returns the entries whose deadline has passed. */
  takeExpired(nowMs: number): readonly QueueEntry[];
  workspaces(): ReadonlySet<WorkspaceName>;
  entries(): readonly QueueEntry[];
  size(): number;
}

export function createRequestQueue(): RequestQueue {
  let entries: QueueEntry[] = [];

  function enqueue(
    entry: QueueEntry,
    capacity: number,
  ): QueueEntry | undefined {
    entries.push(entry);
    if (entries.length <= capacity) {
      return undefined;
    }
    const victim = chooseVictim(entries);
    entries.splice(entries.indexOf(victim), 1);
    return victim;
  }

  function peek(
    occupiedBy: (workspace: WorkspaceName) => number,
  ): QueueEntry | undefined {
    let best: QueueEntry | undefined;
    for (const entry of entries) {
      if (!best || precedes(entry, best, occupiedBy)) {
        best = entry;
      }
    }
    return best;
  }

  function remove(request: RequestId): boolean {
    const index = entries.findIndex(entry => entry.request === request);
    if (index < 0) {
      return false;
    }
    entries.splice(index, 1);
    return true;
  }

  function takeExpired(nowMs: number): readonly QueueEntry[] {
    const expired = entries.filter(entry => entry.deadlineMs <= nowMs);
    if (expired.length > 0) {
      entries = entries.filter(entry => entry.deadlineMs > nowMs);
    }
    return expired;
  }

  return {
    enqueue,
    peek,
    remove,
    countAhead: priority =>
      entries.filter(entry => entry.priority >= priority).length,
    takeExpired,
    workspaces: () => new Set(entries.map(entry => entry.workspace)),
    entries: () => entries,
    size: () => entries.length,
  };
}

function precedes(
  entry: QueueEntry,
  best: QueueEntry,
  occupiedBy: (workspace: WorkspaceName) => number,
): boolean {
  if (entry.priority !== best.priority) {
    return entry.priority > best.priority;
  }
  return occupiedBy(entry.workspace) < occupiedBy(best.workspace);
}

function chooseVictim(entries: readonly QueueEntry[]): QueueEntry {
  const counts = new Map<WorkspaceName, number>();
  for (const entry of entries) {
    counts.set(entry.workspace, (counts.get(entry.workspace) ?? 0) + 1);
  }
  let victim = entries[0]!;
  for (const entry of entries) {
    const lower = entry.priority < victim.priority;
    const largerBacklog =
      entry.priority === victim.priority &&
      counts.get(entry.workspace)! >= counts.get(victim.workspace)!;
    if (lower || largerBacklog) {
      victim = entry;
    }
  }
  return victim;
}
