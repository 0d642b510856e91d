/** What the logs of gateways tell of one request, oldest line first. */
import {type LogLine, parseLogLine} from '@ibisbeam/library';

export interface LogStory {
  /** Lines that bear the request's identifier. */
  readonly own: readonly LogLine[];
  /** What the same VM came to believe of the request's targets before. */
  readonly beliefs: readonly LogLine[];
}

/** Beliefs older than this before the request's end are left out. */
const BELIEF_SPAN_MS = 30_000;
/** Events that change what a VM believes of all targets or of itself. */
const FLEET_EVENTS: ReadonlySet<string> = new Set([
  'configuration-in-force',
  'configuration-rejected',
  'evacuations-changed',
  'store-unreachable',
  'store-reachable',
  'vm-started',
  'vm-stopping',
]);

/** Nothing if no line bears the identifier. */
export function findStory(
  texts: Iterable<string>,
  request: string,
): LogStory | undefined {
  const lines: LogLine[] = [];
  for (const text of texts) {
    const line = parseLogLine(text);
    if (line) {
      lines.push(line);
    }
  }
  const own = lines.filter(line => line.fields.get('request') === request);
  if (own.length === 0) {
    return undefined;
  }
  const vms = new Set(own.map(line => line.fields.get('vm')));
  const targets = new Set(own.map(line => line.fields.get('target')));
  const endMs = Math.max(...own.map(timeOf));
  const beliefs = lines.filter(line => {
    const ageMs = endMs - timeOf(line);
    if (ageMs < 0 || ageMs > BELIEF_SPAN_MS) {
      return false;
    }
    if (!vms.has(line.fields.get('vm'))) {
      return false;
    }
    if (FLEET_EVENTS.has(line.event)) {
      return true;
    }
    const target = line.fields.get('target');
    return (
      line.event.startsWith('target-') &&
      target !== undefined &&
      targets.has(target)
    );
  });
  return {own: sorted(own), beliefs: sorted(beliefs)};
}

export function describeStory({own, beliefs}: LogStory): string {
  const lines = own.map(describeLine);
  if (beliefs.length > 0) {
    lines.push('What the VM believed by then:');
    lines.push(...beliefs.map(line => `  ${describeLine(line)}`));
  }
  return lines.join('\n');
}

function describeLine({time, event, fields}: LogLine): string {
  const told: string[] = [];
  for (const [key, value] of fields) {
    if (key !== 'vm' && key !== 'request') {
      told.push(`${key} ${value}`);
    }
  }
  return `${time}  ${fields.get('vm') ?? '-'}  ${event}  ${told.join(', ')}`;
}

function sorted(lines: readonly LogLine[]): readonly LogLine[] {
  return [...lines].sort((one, other) => timeOf(one) - timeOf(other));
}

function timeOf(line: LogLine): number {
  return Date.parse(line.time);
}
