/**
 * Priority queue of the requests of one service that wait for a slot. With
 * hundreds of waiting requests, it costs too much to try all of them whenever a
 * slot becomes free. Only the few most urgent ones are tried then, and every
 * request is tried once more when its hold time expires.
 */
import type {Urgency} from './dispatch_rule.js';

export interface WaitingRequest {
  urgency: Urgency;
  /** Time at which the request must be sent or refused. */
  readonly holdUntilMs: number;
}

export interface DispatchQueue<T extends WaitingRequest> {
  add(request: T): void;
  /** Returns false if the request was not in the queue. */
  remove(request: T): boolean;
  /** The most urgent requests, in order of arrival within an urgency. */
  first(count: number): readonly T[];
  /** Requests whose hold time has expired; they stay in the queue. */
  expired(nowMs: number): readonly T[];
  /** Must be called when the urgency of a waiting request has changed. */
  requeue(request: T): void;
  size(): number;
}

/** Most urgent first. */
const URGENCIES: readonly Urgency[] = ['in-time', 'retry', 'late'];

export function createDispatchQueue<
  T extends WaitingRequest,
>(): DispatchQueue<T> {
  const byUrgency = new Map<Urgency, Set<T>>(
    URGENCIES.map(urgency => [urgency, new Set<T>()]),
  );

  function add(request: T): void {
    byUrgency.get(request.urgency)?.add(request);
  }

  function remove(request: T): boolean {
    for (const queue of byUrgency.values()) {
      if (queue.delete(request)) {
        return true;
      }
    }
    return false;
  }

  return {
    add,
    remove,
    first: count => {
      const found: T[] = [];
      for (const queue of byUrgency.values()) {
        for (const request of queue) {
          if (found.length >= count) {
            return found;
          }
          found.push(request);
        }
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
