/** The burn report as text. */
import type {
  ErrorBudget,
  BurnReport,
  CoverageGap,
  ServiceBurnReport,
} from '@ibisbeam/decision';
import {
  formatBudgetLeft,
  formatTimestamp,
  formatPercent,
  formatTable,
} from '@ibisbeam/library';

export function describeBurnReport(report: BurnReport): string {
  const parts = [`Burn report at ${formatTimestamp(report.atMs)}`];
  parts.push(...describeCoverage(report));
  for (const service of report.services) {
    parts.push('', describeService(service));
  }
  return parts.join('\n');
}

export function describeCoverage(report: BurnReport): readonly string[] {
  const {countedFromMs, gaps} = report;
  const from =
    countedFromMs === undefined
      ? 'Nothing was counted yet.'
      : `Counted from ${formatTimestamp(countedFromMs)}.`;
  if (gaps.length === 0) {
    return [`${from} Nothing is missing.`];
  }
  return [from, ...gaps.map(gap => `Missing: ${describeGap(gap)}`)];
}

export function describeGap({vm, why, fromMs, toMs}: CoverageGap): string {
  const from =
    fromMs === undefined ? '' : `, counts from ${formatTimestamp(fromMs)}`;
  const to = toMs === undefined ? '' : ` to ${formatTimestamp(toMs)}`;
  return `VM ${vm}: ${why}${from}${to}`;
}

function describeService(burn: ServiceBurnReport): string {
  const {objective, quantilesMs} = burn;
  const lines = [
    `${burn.workspace} / ${burn.service}: ${formatPercent(objective.availability)} answered, ${formatPercent(objective.latencyFraction)} within ${objective.latencyThresholdMs} ms, over ${objective.windowDays} days`,
    formatTable(
      [
        '  BUDGET',
        'LEFT',
        'BAD',
        'OF',
        ...burn.availability.rates.map(r => r.window),
        'ALERT',
      ],
      [
        budgetRow('  availability', burn.availability),
        budgetRow('  latency', burn.latency),
      ],
    ),
    `  latency of answers: p50 ${quantilesMs.p50} ms, p95 ${quantilesMs.p95} ms, p99 ${quantilesMs.p99} ms`,
  ];
  if (burn.spent.length > 0) {
    lines.push(`  spent on: ${describeCounts(burn.spent)}`);
  }
  if (burn.callerFaults.length > 0) {
    lines.push(
      `  refused at no cost to the budget: ${describeCounts(burn.callerFaults)}`,
    );
  }
  if (burn.callerGone > 0) {
    lines.push(`  callers that disconnected: ${burn.callerGone}`);
  }
  for (const hour of burn.worstHours) {
    lines.push(
      `  worst hour ${formatTimestamp(hour.startMs)}: ${hour.bad} of ${hour.total} not answered, ${hour.late} late`,
    );
  }
  return lines.join('\n');
}

function budgetRow(name: string, budget: ErrorBudget): string[] {
  return [
    name,
    formatBudgetLeft(budget.leftFraction),
    String(budget.bad),
    String(budget.total),
    ...budget.rates.map(({rate}) => formatRate(rate)),
    budget.alert ? `${budget.alert.severity}: ${budget.alert.cause}` : 'none',
  ];
}

/** Formats a burn rate; 1x spends exactly the budget over the window. */
export function formatRate(rate: number | undefined): string {
  return rate === undefined ? '-' : `${Number(rate.toFixed(1))}x`;
}

function describeCounts(
  counts: readonly {readonly reason: string; readonly count: number}[],
): string {
  return counts.map(({reason, count}) => `${reason} ${count}`).join(', ');
}
