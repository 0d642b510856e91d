import bunyan from 'bunyan';
import {formatLogLine} from './format_log_line.js';
import type {LogEvent, LogFields, Logger, LogLevel} from './types.js';

/** Fields that bunyan adds; the line omits them or formats them itself. */
const BUNYAN_FIELDS = new Set([
  'name',
  'hostname',
  'pid',
  'level',
  'msg',
  'time',
  'v',
]);

export interface KeyValueLoggerOptions {
  readonly level: LogLevel;
  readonly fields: LogFields;
  readonly write: (line: string) => void;
}

/** Creates a logger that writes one line of key=value pairs per event. */
export function createKeyValueLogger(options: KeyValueLoggerOptions): Logger {
  const logger = bunyan.createLogger({
    name: 'ibisbeam',
    level: options.level,
    streams: [
      {
        type: 'raw',
        level: options.level,
        stream: {
          write: (record: Record<string, unknown>) =>
            options.write(formatRecord(record)),
        } as unknown as NodeJS.WritableStream,
      },
    ],
    ...options.fields,
  });

  function log(level: LogLevel, event: LogEvent, fields?: LogFields): void {
    logger[level]({...fields}, event);
  }

  return {log};
}

/** Creates a logger that discards all events. */
export function createSilentLogger(): Logger {
  return {log: () => {}};
}

function formatRecord(record: Record<string, unknown>): string {
  const time = record['time'] as Date;
  const level = bunyan.nameFromLevel[record['level'] as number] ?? 'info';
  const fields: Record<string, unknown> = {};
  for (const [key, value] of Object.entries(record)) {
    if (!BUNYAN_FIELDS.has(key)) {
      fields[key] = value;
    }
  }
  return formatLogLine(
    time.toISOString(),
    level as LogLevel,
    record['msg'] as LogEvent,
    fields,
  );
}
