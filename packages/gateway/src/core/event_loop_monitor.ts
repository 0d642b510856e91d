/**
 * Measures how late the event loop runs timers. While it is late, requests and
 * disconnects wait unread in the sockets.
 */
import type {Logger, TimerHandle, TimerService} from '@ibisbeam/library';

export interface EventLoopMonitorOptions {
  readonly timers: Pick<TimerService, 'nowMs' | 'every'>;
  readonly log: Logger;
  recordDelay(delayMs: number): void;
}

const SAMPLE_INTERVAL_MS = 50;
/** Shorter delays are recorded, but leave no log line. */
const LOGGED_DELAY_MS = 200;

/** Starts to measure; the returned handle ends it. */
export function startEventLoopMonitor(
  options: EventLoopMonitorOptions,
): TimerHandle {
  const {timers, log, recordDelay} = options;
  let dueMs = timers.nowMs() + SAMPLE_INTERVAL_MS;

  return timers.every(SAMPLE_INTERVAL_MS, () => {
    const nowMs = timers.nowMs();
    const delayMs = Math.max(0, nowMs - dueMs);
    dueMs = nowMs + SAMPLE_INTERVAL_MS;
    recordDelay(delayMs);
    if (delayMs >= LOGGED_DELAY_MS) {
      log.log('warn', 'event-loop-delayed', {delayMs: Math.round(delayMs)});
    }
  });
}
