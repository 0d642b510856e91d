/** Tables that compare the reports of several days side by side. */
import type {DayReport, GroupFigures} from './read_report.js';

export interface NamedReport {
  readonly name: string;
  readonly report: DayReport;
}

export interface Table {
  readonly title: string;
  readonly header: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

/** Rows shown for each day. */
const MAXIMUM_WINDOWS = 5;
const MAXIMUM_PRICES = 5;

export function compareReports(days: readonly NamedReport[]): readonly Table[] {
  return [
    overviewTable(days),
    groupTable('Kinds of requests', days, report => report.kinds),
    groupTable('Zones of clients', days, report => report.zones),
    groupTable('Worst windows', days, worstWindows),
    {
      title: 'Highest prices',
      header: ['day', 'for', 'worth'],
      rows: days.flatMap(({name, report}) =>
        report.prices
          .slice(0, MAXIMUM_PRICES)
          .map(({of, worth}) => [name, of, worth.toFixed(4)]),
      ),
    },
  ];
}

/** Windows with requests that earned the least, in ascending order. */
export function worstWindows(report: DayReport): readonly GroupFigures[] {
  return [...report.windows]
    .filter(window => window.requests > 0)
    .sort((left, right) => left.earned - right.earned)
    .slice(0, MAXIMUM_WINDOWS);
}

function overviewTable(days: readonly NamedReport[]): Table {
  return {
    title: 'Days',
    header: ['day', 'worth', 'worst kind', 'worst zone', 'broken rules'],
    rows: days.map(({name, report}) => [
      name,
      report.worth.toFixed(3),
      formatWorstGroup(report.kinds),
      formatWorstGroup(report.zones),
      report.brokenRules.join(' ') || 'none',
    ]),
  };
}

function formatWorstGroup(found: readonly GroupFigures[]): string {
  let worst: GroupFigures | undefined;
  for (const group of found) {
    if (!worst || group.earned < worst.earned) {
      worst = group;
    }
  }
  return worst ? `${worst.name} ${worst.earned.toFixed(3)}` : '-';
}

/** One row for each pair of a group and a day that has this group. */
function groupTable(
  title: string,
  days: readonly NamedReport[],
  select: (report: DayReport) => readonly GroupFigures[],
): Table {
  const rows: string[][] = [];
  const names = new Set<string>();
  for (const {report} of days) {
    for (const group of select(report)) {
      names.add(group.name);
    }
  }
  for (const groupName of names) {
    for (const {name, report} of days) {
      const group = select(report).find(
        candidate => candidate.name === groupName,
      );
      if (group) {
        rows.push(groupRow(groupName, name, group));
      }
    }
  }
  return {
    title,
    header: [
      'name',
      'day',
      'requests',
      'in time',
      'late',
      'refused',
      'failed',
      'earned',
      'median ms',
      '99 % ms',
    ],
    rows,
  };
}

function groupRow(
  groupName: string,
  day: string,
  group: GroupFigures,
): string[] {
  return [
    groupName,
    day,
    String(group.requests),
    formatPercent(group.inTime),
    formatPercent(group.late),
    formatPercent(group.refused),
    formatPercent(group.failed),
    group.earned.toFixed(3),
    group.medianMs.toFixed(0),
    group.p99Ms.toFixed(0),
  ];
}

function formatPercent(share: number): string {
  return `${(share * 100).toFixed(1)} %`;
}
