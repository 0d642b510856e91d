/**
 * Priority queue of the requests of one service that wait for a slot. With
 * hundreds of waiting requests, it costs too much to try all of them whenever a
 * slot becomes free. Only the few most urgent ones are tried then, and every
 * request is tried once more when its hold time expires.
 *
 * Load pattern: workspaces that compete for a service with too little room,
 * with requests of several priorities. Priorities go first; workspaces of one
 * priority take turns by the slot time that they have had.
 */
import type {Urgency} from './dispatch_rule.js';

export interface WaitingRequest {
  urgency: Urgency;
  /** Time at which the request must be sent or refused. */
  readonly holdUntilMs: number;
  /** 0 is the most urgent; 0 for all where callers belong to no workspace. */
  readonly priority: number;
  /** Empty if the caller belongs to none. */
  readonly workspace: string;
  /** Time for which it is expected to occupy a slot. */
  readonly slotMs: number;
}

export interface DispatchQueue<T extends WaitingRequest> {
  add(request: T): void;
  /** Returns false if the request was not in the queue. */
  remove(request: T): boolean;
  /**
   * The most urgent requests, in the order in which they should be tried.
   *
   * @param slotTimeOf Slot time that a workspace has had lately.
   */
  first(count: number, slotTimeOf: SlotTimeOf): readonly T[];
  /** Requests whose hold time has expired; they stay in the queue. */
  expired(nowMs: number): readonly T[];
  /** Whether a request of a more urgent priority is waiting. */
  hasAheadOf(priority: number): boolean;
  /** Must be called when the urgency of a waiting request has changed. */
  requeue(request: T): void;
  size(): number;
}

export type SlotTimeOf = (workspace: string) => number;

/**
 * Each turn of this number goes to the request that has waited longest, so that
 * no priority and no workspace is left without slots.
 */
const TURNS_BY_ARRIVAL = 4;

/** Beyond this number the order costs more than it is worth. */
const MAXIMUM_TURNS = 64;

/** Most urgent first. */
const URGENCIES: readonly Urgency[] = ['in-time', 'retry', 'late'];

export function createDispatchQueue<
  T extends WaitingRequest,
>(): DispatchQueue<T> {
  const byUrgency = new Map<Urgency, Set<T>>(
    URGENCIES.map(urgency => [urgency, new Set<T>()]),
  );

  const countByPriority = new Map<number, number>();

  function count(priority: number, change: 1 | -1): void {
    const next = (countByPriority.get(priority) ?? 0) + change;
    if (next > 0) {
      countByPriority.set(priority, next);
    } else {
      countByPriority.delete(priority);
    }
  }

  function add(request: T): void {
    byUrgency.get(request.urgency)?.add(request);
    count(request.priority, 1);
  }

  function remove(request: T): boolean {
    for (const queue of byUrgency.values()) {
      if (queue.delete(request)) {
        count(request.priority, -1);
        return true;
      }
    }
    return false;
  }

  return {
    add,
    remove,
    first: (count, slotTimeOf) => {
      const found: T[] = [];
      for (const queue of byUrgency.values()) {
        if (found.length >= count) {
          break;
        }
        found.push(...takeTurns(queue, count - found.length, slotTimeOf));
      }
      return found;
    },
    expired: nowMs => {
      const found: T[] = [];
      for (const queue of byUrgency.values()) {
        for (const request of queue) {
          if (request.holdUntilMs <= nowMs) {
            found.push(request);
          }
        }
      }
      return found;
    },
    hasAheadOf: priority => {
      for (const waiting of countByPriority.keys()) {
        if (waiting < priority) {
          return true;
        }
      }
      return false;
    },
    requeue: request => {
      if (byUrgency.get(request.urgency)?.has(request)) {
        return;
      }
      if (remove(request)) {
        add(request);
      }
    },
    size: () => {
      let size = 0;
      for (const queue of byUrgency.values()) {
        size += queue.size;
      }
      return size;
    },
  };
}

function takeTurns<T extends WaitingRequest>(
  requests: ReadonlySet<T>,
  count: number,
  slotTimeOf: SlotTimeOf,
): readonly T[] {
  if (requests.size <= 1 || count > MAXIMUM_TURNS) {
    return [...requests];
  }
  const left = new Set(requests);
  const slotTimes = new Map<string, number>();
  const taken: T[] = [];
  while (taken.length < count) {
    const isByArrival =
      taken.length % TURNS_BY_ARRIVAL === TURNS_BY_ARRIVAL - 1;
    const next = isByArrival ? firstOf(left) : mostDeserving(left, slotTimes);
    if (!next) {
      break;
    }
    left.delete(next);
    taken.push(next);
    const before = slotTimes.get(next.workspace) ?? 0;
    slotTimes.set(next.workspace, before + next.slotMs);
  }
  return taken;

  function mostDeserving(
    among: ReadonlySet<T>,
    times: Map<string, number>,
  ): T | undefined {
    let best: T | undefined;
    let bestTime = Infinity;
    for (const request of among) {
      const time =
        times.get(request.workspace) ?? slotTimeOf(request.workspace);
      times.set(request.workspace, time);
      const isFirst =
        !best ||
        request.priority < best.priority ||
        (request.priority === best.priority && time < bestTime);
      if (isFirst) {
        best = request;
        bestTime = time;
      }
    }
    return best;
  }
}

function firstOf<T>(values: ReadonlySet<T>): T | undefined {
  for (const value of values) {
    return value;
  }
  return undefined;
}
