/** Requests that wait for a free slot, tried again whenever one may be free. */
import {type Urgency, compareWaiting} from '@ibisbeam/decision';
import type {TimerHandle, TimerService} from '@ibisbeam/library';

export interface WaitingRequest {
  readonly service: string;
  readonly arrivedAtMs: number;
  urgency: Urgency;
  /** True when the request needs to wait no longer. */
  tryAgain(): boolean;
}

export interface WaitingLine {
  add(request: WaitingRequest): void;
  remove(request: WaitingRequest): void;
  /** A slot of the service may have become free. */
  slotFreed(service: string): void;
  length(): number;
}

/** Slots that other VMs free show only when asked for. */
const RETRY_INTERVAL_MS = 20;

export function createWaitingLine(timers: TimerService): WaitingLine {
  const lines = new Map<string, Set<WaitingRequest>>();
  let ticker: TimerHandle | undefined;
  let waiting = 0;
  let pumping = false;

  function lineOf(service: string): Set<WaitingRequest> {
    const line = lines.get(service) ?? new Set<WaitingRequest>();
    lines.set(service, line);
    return line;
  }

  function pump(service: string): void {
    const line = lineOf(service);
    // A request that ends while the line is tried frees no further slot.
    if (line.size === 0 || pumping) {
      return;
    }
    pumping = true;
    for (const request of [...line].sort(compareWaiting)) {
      if (line.has(request) && request.tryAgain()) {
        remove(request);
      }
    }
    pumping = false;
  }

  function remove(request: WaitingRequest): void {
    if (!lineOf(request.service).delete(request)) {
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
      lineOf(request.service).add(request);
      waiting += 1;
      ticker ??= timers.every(RETRY_INTERVAL_MS, () => {
        for (const service of lines.keys()) {
          pump(service);
        }
      });
    },
    remove,
    slotFreed: pump,
    length: () => waiting,
  };
}
