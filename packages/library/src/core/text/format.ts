/** Plain text tables. */

/** @param rows Cells of each row; the columns line up. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = header.map(cell => cell.length);
  for (const row of rows) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  const lines: string[] = [];
  for (const row of [header, ...rows]) {
    const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0));
    lines.push(cells.join('  ').trimEnd());
  }
  return lines.join('\n');
}

/** Milliseconds for people, such as `2 h 5 min`. */
export function formatDuration(spanMs: number): string {
  const seconds = Math.round(spanMs / 1_000);
  if (spanMs < 1_000) {
    return `${Math.round(spanMs)} ms`;
  }
  if (seconds < 120) {
    return `${seconds} s`;
  }
  const minutes = Math.round(seconds / 60);
  if (minutes < 120) {
    return `${minutes} min`;
  }
  const hours = Math.floor(minutes / 60);
  if (hours < 48) {
    return `${hours} h ${minutes % 60} min`;
  }
  return `${Math.round(hours / 24)} days`;
}

/** Unix time for people and machines, in UTC to the second. */
export function formatTimestamp(wallMs: number): string {
  return new Date(wallMs).toISOString().replace(/\.\d{3}Z$/, 'Z');
}

/** A fraction as a percentage with at most two digits after the point. */
export function formatPercent(fraction: number): string {
  return `${Number((fraction * 100).toFixed(2))} %`;
}

/** What is left of a budget; far overspent, how many budgets were spent. */
export function formatBudgetLeft(leftFraction: number): string {
  if (leftFraction >= -1) {
    return formatPercent(leftFraction);
  }
  return `spent ${Number((1 - leftFraction).toFixed(1))}x`;
}
