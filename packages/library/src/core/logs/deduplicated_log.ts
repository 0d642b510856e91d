/** Logs a burst of like events once, with a count, so that floods stay cheap. */
import type {TimerService} from '../timers/index.js';
import type {LogEvent, LogFields, Logger, LogLevel} from './types.js';

/** Events within this time of the first make one burst. */
const BURST_SPAN_MS = 10_000;

export interface DeduplicatedLog {
  /** @param key Events of one key are counted together. */
  log(key: string, fields: LogFields): void;
}

/** Logs the first event of a burst at once, and the rest by number. */
export function createDeduplicatedLog(
  logger: Logger,
  timers: Pick<TimerService, 'nowMs'>,
  level: LogLevel,
  event: LogEvent,
): DeduplicatedLog {
  const bursts = new Map<string, {startMs: number; unlogged: number}>();

  function log(key: string, fields: LogFields): void {
    const nowMs = timers.nowMs();
    const burst = bursts.get(key);
    if (burst && nowMs - burst.startMs < BURST_SPAN_MS) {
      burst.unlogged += 1;
      return;
    }
    const alsoSeen = burst?.unlogged ?? 0;
    bursts.set(key, {startMs: nowMs, unlogged: 0});
    logger.log(level, event, {...fields, alsoSeen});
  }

  return {log: log};
}
