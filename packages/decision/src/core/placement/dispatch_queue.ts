/**
 * The order in which waiting requests of one service are tried. Answers the
 * pattern of hundreds of requests waiting while every answer frees a slot:
 * trying all of them each time costs more than the answers are worth, so a
 * free slot is offered to the most urgent few, and each request is tried
 * once more when its time to wait is over.
 */
import type {Urgency} from './dispatch_rule.js';

export interface WaitingRequest {
  urgency: Urgency;
  /** Moment at which the request must be sent or refused. */
  readonly holdUntilMs: number;
}

export interface DispatchQueue<T extends WaitingRequest> {
  add(request: T): void;
  /** False if the request was not waiting. */
  remove(request: T): boolean;
  /** The most urgent requests, in the order in which they came. */
  first(count: number): readonly T[];
  /** Requests that can wait no longer. */
  due(nowMs: number): readonly T[];
  /** To be called when a request's urgency has changed. */
  requeue(request: T): void;
  size(): number;
}

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
    due: nowMs => {
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
