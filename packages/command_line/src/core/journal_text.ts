/** Formats the journal entries of several VMs, oldest first. */
import type {JournalResponse, JournalEntryResponse} from '@ibisbeam/library';

export interface VmJournalEntry extends JournalEntryResponse {
  readonly vm: string;
}

export function mergeEntries(
  answers: readonly JournalResponse[],
): readonly VmJournalEntry[] {
  const entries: VmJournalEntry[] = [];
  for (const {vm, entries: found} of answers) {
    entries.push(...found.map(entry => ({...entry, vm})));
  }
  return entries.sort((first, second) => first.atMs - second.atMs);
}

/** Equal entries of different VMs within this time share a line. */
const MERGE_WINDOW_MS = 5_000;
/** VMs named on a shared line; any others are only counted. */
const MAX_LISTED_VMS = 4;

interface EntryGroup {
  readonly first: VmJournalEntry;
  readonly content: string;
  readonly vms: string[];
}

/** One line for each entry, oldest first; equal entries of VMs are merged. */
export function describeEntries(entries: readonly VmJournalEntry[]): string {
  const groups: EntryGroup[] = [];
  const newest = new Map<string, EntryGroup>();
  for (const entry of entries) {
    const content = describeContent(entry);
    const group = newest.get(content);
    if (group && belongsTo(group, entry)) {
      group.vms.push(entry.vm);
      continue;
    }
    const created = {first: entry, content, vms: [entry.vm]};
    newest.set(content, created);
    groups.push(created);
  }
  return groups.map(describeGroup).join('\n');
}

function belongsTo(group: EntryGroup, entry: VmJournalEntry): boolean {
  const inWindow = entry.atMs - group.first.atMs <= MERGE_WINDOW_MS;
  return inWindow && !group.vms.includes(entry.vm);
}

function describeGroup({first, content, vms}: EntryGroup): string {
  const at = new Date(first.atMs).toISOString();
  const named = vms.slice(0, MAX_LISTED_VMS).join(', ');
  const more = vms.length - MAX_LISTED_VMS;
  const where = more > 0 ? `${named} and ${more} more` : named;
  const steps = (first.fields['explanation'] ?? []) as unknown;
  const lines = [`${at}  ${where}  ${content}`];
  if (Array.isArray(steps)) {
    lines.push(...steps.map(step => `    ${String(step)}`));
  }
  return lines.join('\n');
}

function describeContent({event, fields}: VmJournalEntry): string {
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
