/** Requests that wait for a free slot, tried again whenever one may be free. */
import {type Urgency, compareQueued} from '@ibisbeam/decision';
import type {TimerHandle, TimerService} from '@ibisbeam/library';

export interface QueuedRequest {
  readonly service: string;
  readonly arrivedAtMs: number;
  urgency: Urgency;
  /** True when the request needs to wait no longer. */
  tryAgain(): boolean;
}

export interface AdmissionQueue {
  add(request: QueuedRequest): void;
  remove(request: QueuedRequest): void;
  /** A slot of the service may have become free. */
  slotFreed(service: string): void;
  length(): number;
}

/** Slots that other VMs free show only when asked for. */
const RETRY_INTERVAL_MS = 20;

export function createAdmissionQueue(timers: TimerService): AdmissionQueue {
  const queues = new Map<string, Set<QueuedRequest>>();
  let ticker: TimerHandle | undefined;
  let waiting = 0;
  let pumping = false;

  function queueOf(service: string): Set<QueuedRequest> {
    const queue = queues.get(service) ?? new Set<QueuedRequest>();
    queues.set(service, queue);
    return queue;
  }

  function pump(service: string): void {
    const queue = queueOf(service);
    // A request that ends while the queue is tried frees no further slot.
    if (queue.size === 0 || pumping) {
      return;
    }
    pumping = true;
    try {
      for (const request of [...queue].sort(compareQueued)) {
        if (queue.has(request) && request.tryAgain()) {
          remove(request);
        }
      }
    } finally {
      pumping = false;
    }
  }

  function remove(request: QueuedRequest): void {
    if (!queueOf(request.service).delete(request)) {
      return;
    }
    waiting -= 1;
    if (waiting === 0) {
      ticker?.cancel();
      ticker = undefined;
    }
  }

  return {
    add: request => {
      queueOf(request.service).add(request);
      waiting += 1;
      ticker ??= timers.every(RETRY_INTERVAL_MS, () => {
        for (const service of queues.keys()) {
          pump(service);
        }
      });
    },
    remove,
    slotFreed: pump,
    length: () => waiting,
  };
}
