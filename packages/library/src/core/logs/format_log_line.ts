/** Formats a log event as a line of key=value pairs. */
import type {LogEvent, LogFields, LogLevel} from './types.js';

const UNQUOTED_VALUE = /^[A-Za-z0-9_.:@/+-]+$/;

export function formatLogLine(
  time: string,
  level: LogLevel,
  event: LogEvent,
  fields: LogFields,
): string {
  let line = `time=${time} level=${level} event=${event}`;
  for (const key in fields) {
    const value = fields[key];
    if (value !== undefined) {
      line += ` ${key}=${formatValue(value)}`;
    }
  }
  return `${line}\n`;
}

function formatValue(value: unknown): string {
  if (typeof value === 'string') {
    return UNQUOTED_VALUE.test(value) ? value : JSON.stringify(value);
  }
  if (typeof value === 'number' || typeof value === 'boolean') {
    return String(value);
  }
  return JSON.stringify(JSON.stringify(value) ?? String(value));
}
