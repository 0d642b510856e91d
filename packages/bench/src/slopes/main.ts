/**
 * `npm run bench:slopes`: how the load of each component grows with the fleet,
 * extrapolated to the design size and compared with its bound.
 */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
  isKnownSlopeFailure,
  readKnownSlopeFailures,
} from '../decision/known_failures.js';
import {FULL_SIZES, SHORT_SIZES, measureAll} from './all_series.js';
import {compareWithPage, updatePage} from './capacity_page.js';
import {plotSvg} from './plot.js';
import {type SeriesResult, evaluate, formatResult} from './series.js';

const PAGE_FILE = 'docs/CAPACITY.md';
const REPORTS_DIRECTORY = 'reports';

function main(): void {
  const options = yargs(hideBin(process.argv))
    .option('short', {
      type: 'boolean',
      default: false,
      describe:
        'Measure smaller sizes, with the same checks of counted figures',
    })
    .option('write-page', {
      type: 'boolean',
      default: false,
      describe: `Write the counted figures into ${PAGE_FILE}`,
    })
    .strict()
    .parseSync();
  const sizes = options.short ? SHORT_SIZES : FULL_SIZES;
  const results = measureAll(sizes, print).map(evaluate);
  for (const result of results) {
    print(formatResult(result));
  }
  writeReports(results, options.short ? 'slopes-short' : 'slopes');
  const page = readFileSync(PAGE_FILE, 'utf8');
  if (options.writePage) {
    writeFileSync(PAGE_FILE, updatePage(page, results));
    return;
  }
  const failures =
    reportExceededBounds(results) + reportDifferences(page, results);
  print(failures === 0 ? 'slopes hold' : `${failures} failures`);
  process.exitCode = failures === 0 ? 0 : 1;
}

function writeReports(results: readonly SeriesResult[], name: string): void {
  mkdirSync(REPORTS_DIRECTORY, {recursive: true});
  const {rss} = process.memoryUsage();
  const report = {
    residentBytes: rss,
    processor: process.cpuUsage(),
    series: results,
  };
  const json = `${JSON.stringify(report, null, 2)}\n`;
  writeFileSync(`${REPORTS_DIRECTORY}/${name}.json`, json);
  writeFileSync(`${REPORTS_DIRECTORY}/${name}.svg`, plotSvg(results));
}

/**
 * Prints every series over its bound and returns the number of failures.
 * Figures that depend on the machine and series that are listed in
 * KNOWN-RED.txt are printed, but do not fail the run.
 */
function reportExceededBounds(results: readonly SeriesResult[]): number {
  const known = readKnownSlopeFailures();
  let failures = 0;
  for (const result of results) {
    if (!result.over) {
      continue;
    }
    const isKnown = isKnownSlopeFailure(known, result.name);
    const fails = result.counted && !isKnown;
    failures += fails ? 1 : 0;
    print(`${exceededLabel(result.counted, isKnown)}: ${result.name}`);
  }
  return failures;
}

function exceededLabel(counted: boolean, isKnown: boolean): string {
  if (!counted) {
    return 'OVER (not judged here)';
  }
  return isKnown ? 'KNOWN RED' : 'OVER';
}

function reportDifferences(
  page: string,
  results: readonly SeriesResult[],
): number {
  const differences = compareWithPage(page, results);
  for (const {name, size, page: stated, run} of differences) {
    print(
      `${PAGE_FILE} says ${stated ?? 'nothing'} for ${name} at ${size}: ${run}`,
    );
  }
  return differences.length;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

main();
