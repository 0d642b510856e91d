/** Journal entries of several VMs as text, oldest first. */
import type {JournalAnswer, JournalEntryAnswer} from '@ibisbeam/library';

export interface PlacedEntry extends JournalEntryAnswer {
  readonly vm: string;
}

export function mergeEntries(
  answers: readonly JournalAnswer[],
): readonly PlacedEntry[] {
  const entries: PlacedEntry[] = [];
  for (const {vm, entries: found} of answers) {
    entries.push(...found.map(entry => ({...entry, vm})));
  }
  return entries.sort((one, other) => one.atMs - other.atMs);
}

export function describeEntry(entry: PlacedEntry): string {
  const {explanation, ...rest} = entry.fields;
  const fields = Object.entries(rest)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${describeValue(value)}`);
  const head = [new Date(entry.atMs).toISOString(), entry.vm, entry.event];
  const lines = [[...head, ...fields].join('  ')];
  if (Array.isArray(explanation)) {
    lines.push(...explanation.map(step => `    ${String(step)}`));
  }
  return lines.join('\n');
}

function describeValue(value: unknown): string {
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
