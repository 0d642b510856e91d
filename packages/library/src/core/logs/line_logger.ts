/**
 * A logger for high rates. It writes the same lines as `createKeyValueLogger`,
 * but formats them without an intermediate bunyan record.
 */
import type {TimerService} from '../timers/index.js';
import {formatLogLine} from './format_log_line.js';
import type {LogFields, Logger, LogLevel} from './types.js';

export interface LineLoggerOptions {
  readonly level: LogLevel;
  /** Added to every line. */
  readonly fields: LogFields;
  readonly timers: Pick<TimerService, 'wallMs'>;
  readonly write: (line: string) => void;
}

const LEVEL_RANK: Readonly<Record<LogLevel, number>> = {
  debug: 0,
  info: 1,
  warn: 2,
  error: 3,
};

export function createLineLogger(options: LineLoggerOptions): Logger {
  let lastMs = -1;
  let lastText = '';

  /** Formats the time once per millisecond. */
  function timeText(): string {
    const nowMs = options.timers.wallMs();
    if (nowMs !== lastMs) {
      lastMs = nowMs;
      lastText = new Date(nowMs).toISOString();
    }
    return lastText;
  }

  return {
    log: (level, event, fields) => {
      if (LEVEL_RANK[level] < LEVEL_RANK[options.level]) {
        return;
      }
      const all = {...options.fields, ...fields};
      options.write(formatLogLine(timeText(), level, event, all));
    },
  };
}
