/** Formats the results of a scenario as a text table. */
import {type Figures, countViolations} from './measure.js';
import type {RunResult} from './run_scenario.js';
import type {FiguresByStrategy} from './bounds_and_goals.js';

const HEADINGS = [
  'strategy',
  'goodput/s',
  'p50 ms',
  'p99 ms',
  'p99.9 ms',
  'headroom',
  'cap',
  'link',
  'overload ms',
  'ampl.',
  'twice',
  'late new',
  'drain s',
  'refused (true)',
] as const;

export function formatScenario(
  run: Pick<RunResult, 'scenario' | 'faults'>,
  seed: number,
  figures: FiguresByStrategy,
): string {
  const faults = run.faults.map(
    ({atMs, fault}) => `${fault.kind}@${(atMs / 1_000).toFixed(0)}s`,
  );
  const title = `${run.scenario.name} (${run.scenario.deployment}, seed ${seed}; ${faults.join(', ') || 'no fault'})`;
  const rows = [...figures].map(([name, one]) => formatRow(name, one));
  return [title, ...alignColumns([[...HEADINGS], ...rows])].join('\n');
}

function formatRow(name: string, figures: Figures): string[] {
  const interactive = figures.services.find(
    one =>
      one.service === 'room-availability' ||
      one.service === 'measurement-sheets',
  );
  return [
    name,
    figures.goodputPerSecond.toFixed(1),
    formatMs(interactive?.p50Ms),
    formatMs(interactive?.p99Ms),
    formatMs(interactive?.p999Ms),
    [...figures.smallestHeadroom.values()]
      .map(value => value.toFixed(2))
      .join('/'),
    String(countViolations(figures, 'shift-cap')),
    String(countViolations(figures, 'link-budget')),
    figures.overloadMs.toFixed(0),
    figures.amplification.toFixed(3),
    String(countViolations(figures, 'at-most-once')),
    String(countViolations(figures, 'leaving-target')),
    figures.drainMs === undefined ? '-' : (figures.drainMs / 1_000).toFixed(1),
    formatRefusals(figures),
  ];
}

function formatMs(value: number | undefined): string {
  return value === undefined || !Number.isFinite(value)
    ? '-'
    : value.toFixed(0);
}

function formatRefusals(figures: Figures): string {
  const parts = figures.refusals.map(
    one => `${one.reason} ${one.count} (${one.truthful}/${one.notRun})`,
  );
  return parts.join(', ') || '-';
}

function alignColumns(rows: readonly string[][]): readonly string[] {
  const widths = HEADINGS.map((_heading, column) =>
    Math.max(...rows.map(row => row[column]!.length)),
  );
  return rows.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join('  ')
      .trimEnd(),
  );
}
