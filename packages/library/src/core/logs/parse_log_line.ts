/** Parses the lines that `formatLogLine` writes. */

export interface LogLine {
  /** ISO 8601, UTC. */
  readonly time: string;
  readonly level: string;
  readonly event: string;
  /** All other fields, as strings. */
  readonly fields: ReadonlyMap<string, string>;
}

const FIELD = /([A-Za-z][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|[^\s"]*)/y;

/**
 * @param text A line; text before `time=` is ignored, so that lines with the
 *     prefix of a log collector can be parsed.
 * @returns `undefined` if the text is not a complete log line.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('time=');
  if (start < 0) {
    return undefined;
  }
  const fields = new Map<string, string>();
  let position = start;
  while (position < text.length) {
    FIELD.lastIndex = position;
    const match = FIELD.exec(text);
    if (!match) {
      break;
    }
    const next = text[FIELD.lastIndex];
    if (next !== undefined && !/\s/.test(next)) {
      // The line is truncated inside a value.
      return undefined;
    }
    const [whole, key = '', value = ''] = match;
    const decoded = decodeValue(value);
    if (decoded === undefined) {
      return undefined;
    }
    fields.set(key, decoded);
    position += whole.length + 1;
  }
  const time = fields.get('time');
  const level = fields.get('level');
  const event = fields.get('event');
  if (time === undefined || level === undefined || event === undefined) {
    return undefined;
  }
  for (const key of ['time', 'level', 'event']) {
    fields.delete(key);
  }
  return {time, level, event, fields};
}

function decodeValue(value: string): string | undefined {
  if (!value.startsWith('"')) {
    return value;
  }
  try {
    return String(JSON.parse(value));
  } catch {
    return undefined;
  }
}
