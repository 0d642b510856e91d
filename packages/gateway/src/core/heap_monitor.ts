/**
 * Watches how near the process is to the limit of its heap, at which it ends
 * without a further word.
 */
import {getHeapStatistics} from 'node:v8';
import type {Logger, TimerHandle, TimerService} from '@ibisbeam/library';

export interface HeapMonitorOptions {
  readonly timers: Pick<TimerService, 'every'>;
  readonly log: Logger;
  /** Default: the heap of this process. */
  readonly readHeap?: () => HeapUse;
}

export interface HeapUse {
  readonly usedBytes: number;
  readonly limitBytes: number;
}

const SAMPLE_INTERVAL_MS = 200;
/** A heap beyond it is told once, until it has shrunk again. */
const HIGH_FRACTION = 0.7;
const LOW_FRACTION = 0.5;
const BYTES_PER_MEGABYTE = 1_048_576;

export function readProcessHeap(): HeapUse {
  const {used_heap_size: usedBytes, heap_size_limit: limitBytes} =
    getHeapStatistics();
  return {usedBytes, limitBytes};
}

/** Starts to watch; the returned handle ends it. */
export function startHeapMonitor({
  timers,
  log,
  readHeap = readProcessHeap,
}: HeapMonitorOptions): TimerHandle {
  let isHigh = false;

  return timers.every(SAMPLE_INTERVAL_MS, () => {
    const {usedBytes, limitBytes} = readHeap();
    const fraction = usedBytes / limitBytes;
    if (!isHigh && fraction >= HIGH_FRACTION) {
      isHigh = true;
      log.log('warn', 'heap-near', {
        usedMegabytes: Math.round(usedBytes / BYTES_PER_MEGABYTE),
        limitMegabytes: Math.round(limitBytes / BYTES_PER_MEGABYTE),
      });
    }
    isHigh &&= fraction >= LOW_FRACTION;
  });
}
