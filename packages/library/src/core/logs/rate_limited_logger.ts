/**
 * Bounds the lines of each event and level to a rate, so that load cannot
 * turn into log volume. What is left out is counted in a line of its own.
 */
import type {TimerService} from '../timers/index.js';
import type {LogEvent, LogFields, Logger, LogLevel} from './types.js';

export interface RateLimitedLogger extends Logger {
  /** Writes the counts of what was left out since the last call. */
  reportDropped(): void;
}

export interface RateLimitedLoggerOptions {
  readonly logger: Logger;
  readonly timers: Pick<TimerService, 'nowMs'>;
  /** Lines a second of one event at one level. */
  readonly linesPerSecond: number;
  /** Lines dropped behind the logger since the last call. */
  readonly takeDroppedByWriter?: () => number;
}

const MILLISECONDS_PER_SECOND = 1_000;

interface Bucket {
  readonly event: LogEvent;
  readonly level: LogLevel;
  tokens: number;
  filledAtMs: number;
  dropped: number;
}

export function createRateLimitedLogger(
  options: RateLimitedLoggerOptions,
): RateLimitedLogger {
  const {logger, timers, linesPerSecond} = options;
  const buckets = new Map<string, Bucket>();

  function bucketOf(level: LogLevel, event: LogEvent, nowMs: number): Bucket {
    const key = `${level} ${event}`;
    const known = buckets.get(key);
    if (known) {
      const passed = (nowMs - known.filledAtMs) / MILLISECONDS_PER_SECOND;
      const filled = known.tokens + passed * linesPerSecond;
      known.tokens = Math.min(linesPerSecond, filled);
      known.filledAtMs = nowMs;
      return known;
    }
    const bucket: Bucket = {
      event,
      level,
      tokens: linesPerSecond,
      filledAtMs: nowMs,
      dropped: 0,
    };
    buckets.set(key, bucket);
    return bucket;
  }

  function log(level: LogLevel, event: LogEvent, fields?: LogFields): void {
    const bucket = bucketOf(level, event, timers.nowMs());
    if (bucket.tokens < 1) {
      bucket.dropped += 1;
      return;
    }
    bucket.tokens -= 1;
    logger.log(level, event, fields);
  }

  function reportDropped(): void {
    for (const bucket of buckets.values()) {
      if (bucket.dropped > 0) {
        logger.log('warn', 'lines-dropped', {
          of: bucket.event,
          atLevel: bucket.level,
          count: bucket.dropped,
        });
        bucket.dropped = 0;
      }
    }
    const behind = options.takeDroppedByWriter?.() ?? 0;
    if (behind > 0) {
      logger.log('warn', 'lines-dropped', {
        of: 'reader too slow',
        count: behind,
      });
    }
  }

  return {log, reportDropped};
}
