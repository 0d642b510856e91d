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

/** Equal entries of several VMs within this time become one line. */
const MERGED_WITHIN_MS = 5_000;
/** VMs that are named before the rest is told by number. */
const NAMED_VMS = 4;

interface EntryGroup {
  readonly first: PlacedEntry;
  readonly content: string;
  readonly vms: string[];
}

/** Lines, oldest first; what many VMs did alike is told once. */
export function describeEntries(entries: readonly PlacedEntry[]): string {
  const groups: EntryGroup[] = [];
  const newest = new Map<string, EntryGroup>();
  for (const entry of entries) {
    const content = describeContent(entry);
    const known = newest.get(content);
    if (known && belongsTo(known, entry)) {
      known.vms.push(entry.vm);
      continue;
    }
    const group = {first: entry, content, vms: [entry.vm]};
    newest.set(content, group);
    groups.push(group);
  }
  return groups.map(describeGroup).join('\n');
}

function belongsTo(group: EntryGroup, entry: PlacedEntry): boolean {
  const close = entry.atMs - group.first.atMs <= MERGED_WITHIN_MS;
  return close && !group.vms.includes(entry.vm);
}

function describeGroup({first, content, vms}: EntryGroup): string {
  const at = new Date(first.atMs).toISOString();
  const named = vms.slice(0, NAMED_VMS).join(', ');
  const more = vms.length - NAMED_VMS;
  const where = more > 0 ? `${named} and ${more} more` : named;
  const steps = (first.fields['explanation'] ?? []) as unknown;
  const lines = [`${at}  ${where}  ${content}`];
  if (Array.isArray(steps)) {
    lines.push(...steps.map(step => `    ${String(step)}`));
  }
  return lines.join('\n');
}

function describeContent({event, fields}: PlacedEntry): string {
  const {explanation: _steps, startedAtMs: _started, ...rest} = fields;
  const parts = Object.entries(rest)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${describeValue(value)}`);
  return [event, ...parts].join('  ');
}

function describeValue(value: unknown): string {
  if (typeof value === 'number') {
    return String(Math.round(value * 10) / 10);
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
