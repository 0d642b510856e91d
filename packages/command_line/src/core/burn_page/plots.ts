/** Inline SVG plots; a view box 360 units wide keeps text readable on phones. */
import type {ErrorBudget, HourlyCounts} from '@ibisbeam/decision';
import {formatPercent} from '@ibisbeam/library';
import {escapeHtml} from './html.js';

const WIDTH = 360;
const HEIGHT = 150;
const MARGIN_LEFT = 46;
const MARGIN_RIGHT = 8;
const MARGIN_TOP = 8;
const MARGIN_BOTTOM = 22;
const PLOT_WIDTH = WIDTH - MARGIN_LEFT - MARGIN_RIGHT;
const PLOT_HEIGHT = HEIGHT - MARGIN_TOP - MARGIN_BOTTOM;
const HOUR_MS = 3_600_000;
/** More bars than this cannot be told apart on a phone. */
const MAX_BARS = 72;
const MIN_RANGE_HOURS = 12;

interface Range {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Plots unanswered and late requests in each of the most recent hours. */
export function plotHours(
  hours: readonly HourlyCounts[],
  nowMs: number,
  title: string,
): string {
  const range = newestRange(hours, nowMs);
  const shown = hours.filter(hour => hour.startMs >= range.fromMs);
  const highest = Math.max(1, ...shown.map(hour => hour.bad + hour.late));
  const hourWidth = PLOT_WIDTH / ((range.toMs - range.fromMs) / HOUR_MS);
  const barWidth = Math.max(1, hourWidth - 1);
  const bars = shown.map(hour => {
    const x = scaleX(hour.startMs, range);
    const badHeight = (hour.bad / highest) * PLOT_HEIGHT;
    const lateHeight = (hour.late / highest) * PLOT_HEIGHT;
    const base = MARGIN_TOP + PLOT_HEIGHT;
    return [
      rectangle(x, base - badHeight, barWidth, badHeight, 'var(--bad)'),
      rectangle(
        x,
        base - badHeight - lateHeight,
        barWidth,
        lateHeight,
        'var(--late)',
      ),
    ].join('');
  });
  const labels = [
    axisLabel(MARGIN_TOP, String(highest)),
    axisLabel(bottomY(), '0'),
  ];
  return frame(title, [...bars, ...labels, ...timeLabels(range)]);
}

/** Plots the remaining budget after each hour of the window. */
export function plotBudget(
  budget: ErrorBudget,
  hours: readonly HourlyCounts[],
  badCountOf: (hour: HourlyCounts) => number,
  nowMs: number,
  title: string,
): string {
  const first = hours[0]?.startMs ?? nowMs;
  const shortest = nowMs - MIN_RANGE_HOURS * HOUR_MS;
  const range = {fromMs: Math.min(first, shortest), toMs: nowMs};
  const allowed = budget.total * budget.allowedFraction;
  const lowest = Math.min(0, budget.leftFraction);
  let bad = 0;
  const points = [point(range.fromMs, 1, range, lowest)];
  for (const hour of hours) {
    const before = allowed === 0 ? 1 : 1 - bad / allowed;
    points.push(point(hour.startMs, before, range, lowest));
    bad += badCountOf(hour);
    const left = allowed === 0 ? 1 : 1 - bad / allowed;
    const endMs = Math.min(nowMs, hour.startMs + HOUR_MS);
    points.push(point(endMs, left, range, lowest));
  }
  points.push(point(nowMs, budget.leftFraction, range, lowest));
  const color = budget.leftFraction < 0 ? 'var(--bad)' : 'var(--good)';
  const zeroY = scaleY(0, lowest);
  const marks = [
    `<line x1="${MARGIN_LEFT}" x2="${WIDTH - MARGIN_RIGHT}" y1="${zeroY}" y2="${zeroY}" stroke="var(--line)"/>`,
    `<polyline points="${points.join(' ')}" fill="none" stroke="${color}" stroke-width="2"/>`,
    axisLabel(MARGIN_TOP, '100 %'),
    axisLabel(zeroY, '0 %'),
    ...timeLabels(range),
  ];
  if (lowest < -0.25) {
    marks.push(
      axisLabel(bottomY(), formatPercent(Math.round(lowest * 100) / 100)),
    );
  }
  return frame(title, marks);
}

/** Plots the budget spent by each reason as horizontal bars with counts. */
export function plotReasons(
  reasons: readonly {readonly reason: string; readonly count: number}[],
  title: string,
): string {
  const rowHeight = 34;
  const highest = Math.max(1, ...reasons.map(({count}) => count));
  const rows = reasons.map(({reason, count}, index) => {
    const y = index * rowHeight;
    const width = (count / highest) * WIDTH;
    return [
      `<text x="0" y="${y + 12}">${escapeHtml(reason)}</text>`,
      `<text x="${WIDTH}" y="${y + 12}" text-anchor="end">${count}</text>`,
      rectangle(0, y + 17, Math.max(2, width), 8, 'var(--bad)'),
    ].join('');
  });
  const height = Math.max(1, reasons.length) * rowHeight;
  return `<svg viewBox="0 0 ${WIDTH} ${height}" role="img" aria-label="${escapeHtml(title)}">${rows.join('')}</svg>`;
}

function newestRange(hours: readonly HourlyCounts[], nowMs: number): Range {
  const toMs = Math.ceil(nowMs / HOUR_MS) * HOUR_MS;
  const first = hours[0]?.startMs ?? toMs;
  const longest = toMs - MAX_BARS * HOUR_MS;
  const shortest = toMs - MIN_RANGE_HOURS * HOUR_MS;
  return {fromMs: Math.min(shortest, Math.max(longest, first)), toMs};
}

function frame(title: string, marks: readonly string[]): string {
  const axis = `<path d="M${MARGIN_LEFT} ${MARGIN_TOP}V${bottomY()}H${WIDTH - MARGIN_RIGHT}" fill="none" stroke="var(--line)"/>`;
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeHtml(title)}">${axis}${marks.join('')}</svg>`;
}

function timeLabels(range: Range): readonly string[] {
  const y = HEIGHT - 6;
  return [
    `<text x="${MARGIN_LEFT}" y="${y}">${formatTime(range.fromMs)}</text>`,
    `<text x="${WIDTH - MARGIN_RIGHT}" y="${y}" text-anchor="end">${formatTime(range.toMs)} UTC</text>`,
  ];
}

/** Formats as `12-03 22:00`, in UTC. */
function formatTime(wallMs: number): string {
  return new Date(wallMs).toISOString().slice(5, 16).replace('T', ' ');
}

function axisLabel(y: number, text: string): string {
  const baseline = Math.min(Math.max(y + 4, MARGIN_TOP + 8), bottomY());
  return `<text x="${MARGIN_LEFT - 5}" y="${baseline}" text-anchor="end">${escapeHtml(text)}</text>`;
}

function rectangle(
  x: number,
  y: number,
  width: number,
  height: number,
  color: string,
): string {
  if (height <= 0) {
    return '';
  }
  return `<rect x="${round(x)}" y="${round(y)}" width="${round(width)}" height="${round(height)}" fill="${color}"/>`;
}

function point(
  wallMs: number,
  left: number,
  range: Range,
  lowest: number,
): string {
  return `${round(scaleX(wallMs, range))},${round(scaleY(left, lowest))}`;
}

function scaleX(wallMs: number, range: Range): number {
  const fraction = (wallMs - range.fromMs) / (range.toMs - range.fromMs);
  return MARGIN_LEFT + Math.min(1, Math.max(0, fraction)) * PLOT_WIDTH;
}

function scaleY(left: number, lowest: number): number {
  return MARGIN_TOP + ((1 - left) / (1 - lowest)) * PLOT_HEIGHT;
}

function bottomY(): number {
  return MARGIN_TOP + PLOT_HEIGHT;
}

function round(value: number): number {
  return Number(value.toFixed(1));
}
