/**
 * Limits the rate of log lines by event and level with a token bucket, so that
 * log volume does not grow with load. Dropped lines are counted and reported in
 * a line of their own.
 */
import type {TimerService} from '../timers/index.js';
import type {LogEvent, LogFields, Logger, LogLevel} from './types.js';

export interface RateLimitedLogger extends Logger {
  /** Logs the number of lines dropped since the last call. */
  reportDropped(): void;
}

export interface RateLimitedLoggerOptions {
  readonly logger: Logger;
  readonly timers: Pick<TimerService, 'nowMs'>;
  /** Rate limit and burst size of one event at one level. */
  readonly linesPerSecond: number;
  /** Returns the number of lines that the writer dropped since the last call. */
  readonly takeDroppedByWriter?: () => number;
}

const MILLISECONDS_PER_SECOND = 1_000;

interface Bucket {
  readonly event: LogEvent;
  readonly level: LogLevel;
  tokens: number;
  refilledAtMs: number;
  dropped: number;
}

export function createRateLimitedLogger(
  options: RateLimitedLoggerOptions,
): RateLimitedLogger {
  const {logger, timers, linesPerSecond} = options;
  const buckets = new Map<string, Bucket>();

  function bucketOf(level: LogLevel, event: LogEvent, nowMs: number): Bucket {
    const key = `${level} ${event}`;
    const existing = buckets.get(key);
    if (existing) {
      const elapsedSeconds =
        (nowMs - existing.refilledAtMs) / MILLISECONDS_PER_SECOND;
      const tokens = existing.tokens + elapsedSeconds * linesPerSecond;
      existing.tokens = Math.min(linesPerSecond, tokens);
      existing.refilledAtMs = nowMs;
      return existing;
    }
    const bucket: Bucket = {
      event,
      level,
      tokens: linesPerSecond,
      refilledAtMs: nowMs,
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
    const droppedByWriter = options.takeDroppedByWriter?.() ?? 0;
    if (droppedByWriter > 0) {
      logger.log('warn', 'lines-dropped', {
        of: 'reader too slow',
        count: droppedByWriter,
      });
    }
  }

  return {log, reportDropped};
}
