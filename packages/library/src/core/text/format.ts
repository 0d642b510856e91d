/** Formats tables and values as plain text for the command line. */

/**
 * Formats left-aligned columns, two spaces apart, without trailing spaces.
 *
 * @param rows Cells of each row, in the order of the header.
 */
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

/** Formats a duration for people, such as `2 h 5 min`. */
export function formatDuration(durationMs: number): string {
  const seconds = Math.round(durationMs / 1_000);
  if (durationMs < 1_000) {
    return `${Math.round(durationMs)} ms`;
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

/** Formats Unix milliseconds as an ISO 8601 UTC time, to the second. */
export function formatTimestamp(wallMs: number): string {
  return new Date(wallMs).toISOString().replace(/\.\d{3}Z$/, 'Z');
}

/** Formats a fraction as a percentage with at most two decimal places. */
export function formatPercent(fraction: number): string {
  return `${Number((fraction * 100).toFixed(2))} %`;
}

/**
 * Formats the remaining fraction of an error budget as a percentage. Below
 * -100 %, formats the multiple of the budget that was spent instead.
 */
export function formatBudgetLeft(leftFraction: number): string {
  if (leftFraction >= -1) {
    return formatPercent(leftFraction);
  }
  return `spent ${Number((1 - leftFraction).toFixed(1))}x`;
}
