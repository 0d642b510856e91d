/** Requests that wait for a free slot, tried again whenever one may be free. */
import {
  type DispatchQueue,
  type WaitingRequest,
  createDispatchQueue,
} from '@ibisbeam/decision';
import type {TimerHandle, TimerService} from '@ibisbeam/library';

export interface QueuedRequest extends WaitingRequest {
  readonly service: string;
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
/** Requests that a free slot is offered to: their own targets may be full. */
const OFFERS_PER_SLOT = 4;
/** Likewise on each retry, when any target may have room. */
const OFFERS_PER_RETRY = 24;

export function createAdmissionQueue(timers: TimerService): AdmissionQueue {
  const queues = new Map<string, DispatchQueue<QueuedRequest>>();
  let ticker: TimerHandle | undefined;
  let waiting = 0;
  let pumping = false;

  function queueOf(service: string): DispatchQueue<QueuedRequest> {
    const queue = queues.get(service) ?? createDispatchQueue<QueuedRequest>();
    queues.set(service, queue);
    return queue;
  }

  function offer(
    queue: DispatchQueue<QueuedRequest>,
    requests: readonly QueuedRequest[],
  ): void {
    // A request that ends while the queue is tried frees no further slot.
    if (pumping) {
      return;
    }
    pumping = true;
    try {
      for (const request of requests) {
        if (request.tryAgain()) {
          remove(request);
        } else {
          queue.requeue(request);
        }
      }
    } finally {
      pumping = false;
    }
  }

  function remove(request: QueuedRequest): void {
    if (!queueOf(request.service).remove(request)) {
      return;
    }
    waiting -= 1;
    if (waiting === 0) {
      ticker?.cancel();
      ticker = undefined;
    }
  }

  function retry(): void {
    for (const queue of queues.values()) {
      offer(queue, queue.expired(timers.nowMs()));
      offer(queue, queue.first(OFFERS_PER_RETRY));
    }
  }

  return {
    add: request => {
      queueOf(request.service).add(request);
      waiting += 1;
      ticker ??= timers.every(RETRY_INTERVAL_MS, retry);
    },
    remove,
    slotFreed: service => {
      const queue = queues.get(service);
      if (queue) {
        offer(queue, queue.first(OFFERS_PER_SLOT));
      }
    },
    length: () => waiting,
  };
}
