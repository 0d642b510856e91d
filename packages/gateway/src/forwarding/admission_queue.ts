/** Holds requests until a slot may be free, then offers them the slot. */
import {
  type DispatchQueue,
  type SlotTimeShares,
  type WaitingRequest,
  createDispatchQueue,
} from '@ibisbeam/decision';
import type {TimerHandle, TimerService} from '@ibisbeam/library';

export interface QueuedRequest extends WaitingRequest {
  readonly service: string;
  /** Sends or refuses the request; returns false if it must still wait. */
  tryDispatch(): boolean;
}

export interface AdmissionQueue {
  add(request: QueuedRequest): void;
  remove(request: QueuedRequest): void;
  /** Called when a slot of the service may have become free. */
  onSlotFreed(service: string): void;
  /** Called when the requests of the service may have no target left. */
  offerAll(service: string): void;
  /** Whether a request of a more urgent priority waits for the service. */
  hasAheadOf(service: string, priority: number): boolean;
  length(): number;
}

/** Slots freed by requests of other VMs are only found by polling. */
const RETRY_INTERVAL_MS = 20;
/**
 * Number of requests that are offered a freed slot: more than one, because the
 * first may not be allowed to use the target that has the slot.
 */
const OFFERS_PER_SLOT = 4;
/** Number of requests tried on each poll, when any target may have a slot. */
const OFFERS_PER_RETRY = 24;

export function createAdmissionQueue(
  timers: TimerService,
  slotTimes: Pick<SlotTimeShares, 'used'>,
): AdmissionQueue {
  const queues = new Map<string, DispatchQueue<QueuedRequest>>();
  let ticker: TimerHandle | undefined;
  let queuedCount = 0;
  let isOffering = false;

  function queueOf(service: string): DispatchQueue<QueuedRequest> {
    const queue = queues.get(service) ?? createDispatchQueue<QueuedRequest>();
    queues.set(service, queue);
    return queue;
  }

  function offer(
    queue: DispatchQueue<QueuedRequest>,
    requests: readonly QueuedRequest[],
  ): void {
    // Ignores calls of onSlotFreed by requests that end while being offered.
    if (isOffering) {
      return;
    }
    isOffering = true;
    try {
      for (const request of requests) {
        if (request.tryDispatch()) {
          remove(request);
        } else {
          queue.requeue(request);
        }
      }
    } finally {
      isOffering = false;
    }
  }

  function remove(request: QueuedRequest): void {
    if (!queueOf(request.service).remove(request)) {
      return;
    }
    queuedCount -= 1;
    if (queuedCount === 0) {
      ticker?.cancel();
      ticker = undefined;
    }
  }

  function offerFirst(service: string, count: number): void {
    const queue = queues.get(service);
    if (!queue || queue.size() === 0) {
      return;
    }
    const nowMs = timers.nowMs();
    offer(
      queue,
      queue.first(count, workspace =>
        slotTimes.used(service, workspace, nowMs),
      ),
    );
  }

  function retry(): void {
    for (const [service, queue] of queues) {
      offer(queue, queue.expired(timers.nowMs()));
      offerFirst(service, OFFERS_PER_RETRY);
    }
  }

  return {
    add: request => {
      queueOf(request.service).add(request);
      queuedCount += 1;
      ticker ??= timers.every(RETRY_INTERVAL_MS, retry);
    },
    remove,
    onSlotFreed: service => offerFirst(service, OFFERS_PER_SLOT),
    offerAll: service => offerFirst(service, Infinity),
    hasAheadOf: (service, priority) =>
      queues.get(service)?.hasAheadOf(priority) ?? false,
    length: () => queuedCount,
  };
}
