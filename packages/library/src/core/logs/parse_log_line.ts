/** Reads back the lines that `formatLine` writes. */

export interface LogLine {
  readonly time: string;
  readonly level: string;
  readonly event: string;
  /** All other fields, as text. */
  readonly fields: ReadonlyMap<string, string>;
}

const FIELD = /([A-Za-z][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|[^\s"]*)/y;

/**
 * @param text A line; what stands before its time is passed over, so that
 *     lines with a prefix of a log collector can be read.
 * @returns Nothing if the text is no such line.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const begin = text.indexOf('time=');
  if (begin < 0) {
    return undefined;
  }
  const fields = new Map<string, string>();
  let position = begin;
  while (position < text.length) {
    FIELD.lastIndex = position;
    const match = FIELD.exec(text);
    if (!match) {
      break;
    }
    const next = text[FIELD.lastIndex];
    if (next !== undefined && !/\s/.test(next)) {
      // A line that was cut off in the middle of a value tells nothing.
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
