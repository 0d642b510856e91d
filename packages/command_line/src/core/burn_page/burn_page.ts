/** Renders the burn report as one self-contained HTML file. */
import type {
  ErrorBudget,
  HourlyCounts,
  BurnReport,
  ServiceBurnReport,
} from '@ibisbeam/decision';
import {describeCoverage, formatRate} from '../burn_text.js';
import {
  formatBudgetLeft,
  formatTimestamp,
  formatPercent,
} from '@ibisbeam/library';
import {escapeHtml, renderTableRow} from './html.js';
import {plotBudget, plotHours, plotReasons} from './plots.js';
import {BURN_PAGE_STYLES} from './styles.js';

export function renderBurnPage(report: BurnReport): string {
  const articles = report.services.map(service =>
    renderService(service, report.atMs),
  );
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn report</title>
<style>${BURN_PAGE_STYLES}</style>
</head>
<body>
<header>
<h1>Service-level burn report</h1>
<p class="muted">${formatTimestamp(report.atMs)}</p>
${renderCoverage(report)}
${renderOverview(report)}
</header>
<main>
${articles.join('\n')}
</main>
</body>
</html>
`;
}

function renderCoverage(report: BurnReport): string {
  const [from, ...missing] = describeCoverage(report);
  if (missing.length === 0) {
    return `<p class="muted">${escapeHtml(from!)}</p>`;
  }
  const items = missing.map(text => `<li>${escapeHtml(text)}</li>`);
  return `<div class="notice"><p>${escapeHtml(from!)}</p><ul>${items.join('')}</ul></div>`;
}

function renderOverview(report: BurnReport): string {
  const workspaces = new Set(report.services.map(burn => burn.workspace));
  const rows = report.services.map(burn =>
    renderTableRow('td', [
      workspaces.size > 1
        ? `${burn.service} (${burn.workspace})`
        : burn.service,
      formatBudgetLeft(burn.availability.leftFraction),
      formatBudgetLeft(burn.latency.leftFraction),
      worstAlert(burn),
    ]),
  );
  const header = renderTableRow('th', [
    'Service',
    'Answered',
    'In time',
    'Alert',
  ]);
  return `<h3>Budget left</h3><table><thead>${header}</thead><tbody>${rows.join('')}</tbody></table>`;
}

function worstAlert({availability, latency}: ServiceBurnReport): string {
  const severities = [availability.alert?.severity, latency.alert?.severity];
  if (severities.includes('page')) {
    return 'page';
  }
  return severities.includes('ticket') ? 'ticket' : 'none';
}

function renderService(burn: ServiceBurnReport, nowMs: number): string {
  const {objective, quantilesMs} = burn;
  return `<article>
<h2>${escapeHtml(burn.service)}</h2>
<p class="muted">${escapeHtml(burn.workspace)}, over ${objective.windowDays} days</p>
<div class="grid">
${renderBudget(
  `${formatPercent(objective.availability)} answered`,
  burn.availability,
  'not answered',
)}
${renderBudget(
  `${formatPercent(objective.latencyFraction)} within ${objective.latencyThresholdMs} ms`,
  burn.latency,
  'late',
)}
<section>
<h3>Availability budget left</h3>
${plotBudget(burn.availability, burn.hours, (hour: HourlyCounts) => hour.bad, nowMs, 'Availability budget left by hour')}
</section>
<section>
<h3>Latency budget left</h3>
${plotBudget(burn.latency, burn.hours, (hour: HourlyCounts) => hour.late, nowMs, 'Latency budget left by hour')}
</section>
<section>
<h3>Bad requests by hour</h3>
${plotHours(burn.hours, nowMs, 'Bad requests by hour')}
<p class="legend"><span><i style="background:var(--bad)"></i>not answered</span><span><i style="background:var(--late)"></i>late</span></p>
</section>
${renderSpent(burn)}
${renderWorstHours(burn)}
</div>
<p class="muted">Answers: p50 ${quantilesMs.p50} ms, p95 ${quantilesMs.p95} ms, p99 ${quantilesMs.p99} ms. Callers that disconnected: ${burn.callerGone}.</p>
${renderCallerFaults(burn)}
</article>`;
}

function renderBudget(
  objectiveText: string,
  budget: ErrorBudget,
  badLabel: string,
): string {
  const budgetClass = budget.leftFraction < 0 ? 'bad' : 'good';
  const windows = budget.rates.map(({window}) => window);
  const rates = budget.rates.map(({rate}) => formatRate(rate));
  const alert = budget.alert
    ? `<p class="alert">${escapeHtml(`${budget.alert.severity}: ${budget.alert.cause}`)}</p>`
    : '';
  return `<section class="budget">
<p>${escapeHtml(objectiveText)}</p>
<p><span class="left ${budgetClass}">${formatBudgetLeft(budget.leftFraction)}</span> ${budget.leftFraction < -1 ? 'of the budget' : 'of the budget left'}</p>
<p class="muted">${budget.bad} of ${budget.total} ${escapeHtml(badLabel)}</p>
<table class="rates"><thead>${renderTableRow('th', ['Over', ...windows])}</thead>
<tbody>${renderTableRow('td', ['Rate', ...rates])}</tbody></table>
${alert}</section>`;
}

function renderSpent({spent}: ServiceBurnReport): string {
  if (spent.length === 0) {
    return '<section><h3>Spent on</h3><p class="muted">Nothing was spent.</p></section>';
  }
  return `<section><h3>Spent on</h3>${plotReasons(spent, 'Availability budget spent by reason')}</section>`;
}

function renderWorstHours({worstHours}: ServiceBurnReport): string {
  if (worstHours.length === 0) {
    return '';
  }
  const rows = worstHours.map(hour =>
    renderTableRow('td', [
      formatHour(hour.startMs),
      `${hour.bad} of ${hour.total}`,
      String(hour.late),
    ]),
  );
  const header = renderTableRow('th', ['From (UTC)', 'Not answered', 'Late']);
  return `<section><h3>Worst hours</h3><table class="hours"><thead>${header}</thead><tbody>${rows.join('')}</tbody></table></section>`;
}

/** Formats as `2026-12-03 22:00`, in UTC. */
function formatHour(wallMs: number): string {
  return formatTimestamp(wallMs).slice(0, 16).replace('T', ' ');
}

function renderCallerFaults({callerFaults}: ServiceBurnReport): string {
  if (callerFaults.length === 0) {
    return '';
  }
  const texts = callerFaults.map(({reason, count}) => `${reason} ${count}`);
  return `<p class="muted">Refused at no cost to the budget: ${escapeHtml(texts.join(', '))}.</p>`;
}
