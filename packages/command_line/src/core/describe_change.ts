/** Describes a change: its impact, its warnings and whether it was published. */
import type {ConfigurationImpact, SectionName} from '@ibisbeam/decision';
import type {CommandOutput} from './command_output.js';
import type {ChangeOutcome} from './configuration_access.js';
import type {FleetLoad} from './operator_client.js';

export function describeImpact(impact: ConfigurationImpact): string {
  if (impact.changes.length === 0) {
    return 'No workspace policy changes.';
  }
  const lines: string[] = [];
  let lastPlace = '';
  for (const change of impact.changes) {
    const place = `${change.workspace} / ${change.service}`;
    if (place !== lastPlace) {
      lines.push(place);
    }
    lastPlace = place;
    lines.push(
      `  ${change.path || '(service)'}: ${formatValue(change.before)} -> ${formatValue(change.after)}`,
    );
  }
  return lines.join('\n');
}

function formatValue(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

export function buildChangeOutput(
  subject: string,
  outcome: ChangeOutcome,
  fleet?: FleetLoad,
): CommandOutput {
  const {accepted, impact, sections} = outcome;
  const summary = accepted
    ? `${subject}: accepted as generation ${accepted.generation} (write ${accepted.writeId}).`
    : `${subject}: --dry-run, nothing was changed.`;
  const notes: string[] = [];
  if (accepted?.rebased) {
    notes.push(
      'Other sections had changed in the meantime; those changes were kept.',
    );
  }
  if (accepted?.readBack) {
    notes.push(
      "The store's answer was lost; the change was found by read-back.",
    );
  }
  const shown = sections.some(affectsPolicies) ? [describeImpact(impact)] : [];
  const text = [...shown, ...notes, summary].join('\n');
  return {
    text,
    data: {accepted: accepted ?? null, dryRun: !accepted, sections, impact},
    warnings: [...impactWarnings(impact), ...loadWarnings(fleet)],
  };
}

/** Approvals, drains and shifts change no policy, so no impact is printed. */
function affectsPolicies(section: SectionName): boolean {
  return !['approvals', 'drains', 'shifts'].includes(section);
}

function impactWarnings(impact: ConfigurationImpact): readonly string[] {
  return impact.findings.map(({limit, message}) => `${limit}: ${message}`);
}

function loadWarnings(fleet: FleetLoad | undefined): readonly string[] {
  const unknown = fleet?.unknown ?? [];
  if (unknown.length === 0) {
    return [];
  }
  const first = unknown[0]!;
  return [
    `the load of ${unknown.length} VMs is unknown, for example of ${first.vm}: ${first.cause}`,
  ];
}
