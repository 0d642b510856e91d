/** Finds the log lines that concern one request in the logs of gateways. */
import {type LogLine, parseLogLine} from '@ibisbeam/library';

export interface RequestLog {
  /** Lines with the request's identifier, oldest first. */
  readonly requestLines: readonly LogLine[];
  /** Earlier state changes at the same VM that can affect the request. */
  readonly contextLines: readonly LogLine[];
}

/** Context lines start this long before the request's last line. */
const CONTEXT_WINDOW_MS = 30_000;
/** Events that concern the whole VM or all targets, not a single target. */
const VM_WIDE_EVENTS: ReadonlySet<string> = new Set([
  'configuration-in-force',
  'configuration-rejected',
  'evacuations-changed',
  'store-unreachable',
  'store-reachable',
  'vm-started',
  'vm-stopping',
]);

/** Returns `undefined` if no line has the request's identifier. */
export function findRequestLog(
  texts: Iterable<string>,
  request: string,
): RequestLog | undefined {
  const lines: LogLine[] = [];
  for (const text of texts) {
    const line = parseLogLine(text);
    if (line) {
      lines.push(line);
    }
  }
  const requestLines = lines.filter(
    line => line.fields.get('request') === request,
  );
  if (requestLines.length === 0) {
    return undefined;
  }
  const vms = new Set(requestLines.map(line => line.fields.get('vm')));
  const targets = new Set(requestLines.map(line => line.fields.get('target')));
  const endMs = Math.max(...requestLines.map(timeMsOf));
  const contextLines = lines.filter(line => {
    const ageMs = endMs - timeMsOf(line);
    if (ageMs < 0 || ageMs > CONTEXT_WINDOW_MS) {
      return false;
    }
    if (!vms.has(line.fields.get('vm'))) {
      return false;
    }
    if (VM_WIDE_EVENTS.has(line.event)) {
      return true;
    }
    const target = line.fields.get('target');
    return (
      line.event.startsWith('target-') &&
      target !== undefined &&
      targets.has(target)
    );
  });
  return {
    requestLines: sortByTime(requestLines),
    contextLines: sortByTime(contextLines),
  };
}

export function describeRequestLog({
  requestLines,
  contextLines,
}: RequestLog): string {
  const lines = requestLines.map(describeLine);
  if (contextLines.length > 0) {
    lines.push('Earlier state changes at the VM:');
    lines.push(...contextLines.map(line => `  ${describeLine(line)}`));
  }
  return lines.join('\n');
}

function describeLine({time, event, fields}: LogLine): string {
  const fieldTexts: string[] = [];
  for (const [key, value] of fields) {
    if (key !== 'vm' && key !== 'request') {
      fieldTexts.push(`${key} ${value}`);
    }
  }
  return `${time}  ${fields.get('vm') ?? '-'}  ${event}  ${fieldTexts.join(', ')}`;
}

function sortByTime(lines: readonly LogLine[]): readonly LogLine[] {
  return [...lines].sort((first, second) => timeMsOf(first) - timeMsOf(second));
}

function timeMsOf(line: LogLine): number {
  return Date.parse(line.time);
}
