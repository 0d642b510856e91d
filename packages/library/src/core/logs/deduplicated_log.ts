/** Deduplicates log events, so that a flood of them stays cheap. */
import type {TimerService} from '../timers/index.js';
import type {LogEvent, LogFields, Logger, LogLevel} from './types.js';

/** Events of one key within this time after a logged one are only counted. */
const DEDUPLICATION_WINDOW_MS = 10_000;

export interface DeduplicatedLog {
  /** @param key Events with the same key are deduplicated. */
  log(key: string, fields: LogFields): void;
}

/**
 * Logs the first event of a key in each window. The next logged event of the key
 * states in `alsoSeen` how many were suppressed.
 */
export function createDeduplicatedLog(
  logger: Logger,
  timers: Pick<TimerService, 'nowMs'>,
  level: LogLevel,
  event: LogEvent,
): DeduplicatedLog {
  const windows = new Map<string, {startMs: number; suppressed: number}>();

  function log(key: string, fields: LogFields): void {
    const nowMs = timers.nowMs();
    const window = windows.get(key);
    if (window && nowMs - window.startMs < DEDUPLICATION_WINDOW_MS) {
      window.suppressed += 1;
      return;
    }
    const alsoSeen = window?.suppressed ?? 0;
    windows.set(key, {startMs: nowMs, suppressed: 0});
    logger.log(level, event, {...fields, alsoSeen});
  }

  return {log};
}
