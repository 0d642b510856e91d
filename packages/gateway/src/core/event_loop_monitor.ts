/**
 * Measures how late the event loop runs timers, and how far the time of day moves
 * apart from the monotonic clock. While the loop is late, requests and
 * disconnects wait unread in the sockets.
 */
import type {Logger, TimerHandle, TimerService} from '@ibisbeam/library';

export interface EventLoopMonitorOptions {
  readonly timers: Pick<TimerService, 'nowMs' | 'wallMs' | 'every'>;
  readonly log: Logger;
  recordDelay(delayMs: number): void;
}

const SAMPLE_INTERVAL_MS = 50;
/** Shorter delays are recorded, but leave no log line. */
const LOGGED_DELAY_MS = 200;
/** Smaller steps of the time of day are the work of its synchronization. */
const LOGGED_DIVERGENCE_MS = 500;

/** Starts to measure; the returned handle ends it. */
export function startEventLoopMonitor(
  options: EventLoopMonitorOptions,
): TimerHandle {
  const {timers, log, recordDelay} = options;
  let sampledMs = timers.nowMs();
  let sampledWallMs = timers.wallMs();

  return timers.every(SAMPLE_INTERVAL_MS, () => {
    const nowMs = timers.nowMs();
    const wallMs = timers.wallMs();
    const elapsedMs = nowMs - sampledMs;
    const divergedMs = wallMs - sampledWallMs - elapsedMs;
    const delayMs = Math.max(0, elapsedMs - SAMPLE_INTERVAL_MS);
    sampledMs = nowMs;
    sampledWallMs = wallMs;
    recordDelay(delayMs);
    if (delayMs >= LOGGED_DELAY_MS) {
      log.log('warn', 'event-loop-delayed', {delayMs: Math.round(delayMs)});
    }
    if (Math.abs(divergedMs) >= LOGGED_DIVERGENCE_MS) {
      log.log('warn', 'clocks-diverged', {byMs: Math.round(divergedMs)});
    }
  });
}
