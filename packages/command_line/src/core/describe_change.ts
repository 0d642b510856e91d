/** Text of a change: what it alters, what to watch, and whether it was made. */
import type {ConfigurationImpact, SectionName} from '@ibisbeam/decision';
import type {CommandAnswer} from './answer.js';
import type {ChangeOutcome} from './configuration_access.js';
import type {FleetLoad} from './operator_client.js';

export function describeImpact(impact: ConfigurationImpact): string {
  if (impact.changes.length === 0) {
    return 'No policy of a workspace changes.';
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
      `  ${change.path || '(service)'}: ${tell(change.before)} -> ${tell(change.after)}`,
    );
  }
  return lines.join('\n');
}

function tell(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

export function answerChange(
  what: string,
  outcome: ChangeOutcome,
  fleet?: FleetLoad,
): CommandAnswer {
  const {accepted, impact, sections} = outcome;
  const done = accepted
    ? `${what}: accepted as generation ${accepted.generation} (write ${accepted.writeId}).`
    : `${what}: --dry-run, nothing was changed.`;
  const notes: string[] = [];
  if (accepted?.rebased) {
    notes.push('Other sections had changed since; they were kept.');
  }
  if (accepted?.readBack) {
    notes.push(
      "The store's answer was lost; the change was found by read-back.",
    );
  }
  const shown = sections.some(isSteeringSection)
    ? [describeImpact(impact)]
    : [];
  const text = [...shown, ...notes, done].join('\n');
  return {
    text,
    data: {accepted: accepted ?? null, dryRun: !accepted, sections, impact},
    warnings: [...impactWarnings(impact), ...loadWarnings(fleet)],
  };
}

/** Approvals, drains and shifts change no policy, so that nothing is said. */
function isSteeringSection(section: SectionName): boolean {
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
    `the load of ${unknown.length} VMs is not known, such as ${first.vm}: ${first.cause}`,
  ];
}
