/** Reads and updates the table of counted figures in `docs/CAPACITY.md`. */
import type {SeriesResult} from './series.js';
import {formatValue} from './series.js';

const BEGIN = '<!-- counted figures: begin -->';
const END = '<!-- counted figures: end -->';
/** Accepted difference between page and run, relative to the run. */
const TOLERANCE = 0.05;
const ROW_PATTERN = /^\| ([a-z-]+) \| [^|]+ \| ([\d.]+) \| ([\d.-]+) \|$/;

export interface PageDifference {
  readonly name: string;
  readonly size: number;
  readonly page?: number;
  readonly run: number;
}

/**
 * Writes the counted figures of the run into the page's table. Rows of sizes
 * that the run did not measure are kept.
 */
export function updatePage(
  page: string,
  results: readonly SeriesResult[],
): string {
  const begin = page.indexOf(BEGIN);
  const end = page.indexOf(END);
  if (begin < 0 || end < begin) {
    throw new Error(
      `the page lacks the markers ${BEGIN} and ${END}, in this order`,
    );
  }
  const rows = new Map<string, string>();
  for (const row of page.slice(begin, end).split('\n')) {
    const match = ROW_PATTERN.exec(normalizeRow(row));
    if (match) {
      rows.set(`${match[1]}/${match[2]}`, normalizeRow(row));
    }
  }
  for (const result of results) {
    if (!result.counted) {
      continue;
    }
    for (const {size, value} of result.points) {
      rows.set(
        `${result.name}/${size}`,
        `| ${result.name} | ${result.unit} against ${result.against} | ${size} | ${formatValue(value)} |`,
      );
    }
  }
  const table = [
    '| Figure | Unit | Size | Counted |',
    '| --- | --- | --- | --- |',
    ...rows.values(),
  ].join('\n');
  const head = page.slice(0, begin + BEGIN.length);
  return `${head}\n\n${table}\n\n${page.slice(end)}`;
}

/** Removes the padding that aligns the columns of a table row. */
function normalizeRow(row: string): string {
  const cells = row.split('|').map(cell => cell.trim());
  return `| ${cells.slice(1, 5).join(' | ')} |`;
}

/** Counted points of the run that the page lacks or gives another value for. */
export function compareWithPage(
  page: string,
  results: readonly SeriesResult[],
): readonly PageDifference[] {
  const pageFigures = readTable(page);
  const differences: PageDifference[] = [];
  for (const result of results) {
    if (!result.counted) {
      continue;
    }
    for (const {size, value} of result.points) {
      const pageValue = pageFigures.get(`${result.name}/${size}`);
      if (pageValue === undefined || !isWithinTolerance(pageValue, value)) {
        differences.push({
          name: result.name,
          size,
          page: pageValue,
          run: value,
        });
      }
    }
  }
  return differences;
}

function readTable(page: string): ReadonlyMap<string, number> {
  const figures = new Map<string, number>();
  for (const line of page.split('\n')) {
    const match = ROW_PATTERN.exec(normalizeRow(line));
    if (match) {
      figures.set(`${match[1]}/${match[2]}`, Number(match[3]));
    }
  }
  return figures;
}

function isWithinTolerance(page: number, run: number): boolean {
  return Math.abs(page - run) <= TOLERANCE * Math.max(Math.abs(run), 1);
}
