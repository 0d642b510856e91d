/** `npm run bench:slopes`: how each role grows, against the design size. */
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

const PAGE = 'docs/CAPACITY.md';
const REPORTS = 'reports';

function main(): void {
  const options = yargs(hideBin(process.argv))
    .option('short', {
      type: 'boolean',
      default: false,
      describe: 'Smaller sizes; counted figures are judged all the same',
    })
    .option('write-page', {
      type: 'boolean',
      default: false,
      describe: `Put the counted figures into ${PAGE}`,
    })
    .strict()
    .parseSync();
  const sizes = options.short ? SHORT_SIZES : FULL_SIZES;
  const results = measureAll(sizes, print).map(evaluate);
  for (const result of results) {
    print(formatResult(result));
  }
  writeReports(results, options.short ? 'slopes-short' : 'slopes');
  const page = readFileSync(PAGE, 'utf8');
  if (options.writePage) {
    writeFileSync(PAGE, updatePage(page, results));
    return;
  }
  const failures = reportOver(results) + reportDifferences(page, results);
  print(failures === 0 ? 'slopes hold' : `${failures} failures`);
  process.exitCode = failures === 0 ? 0 : 1;
}

function writeReports(results: readonly SeriesResult[], name: string): void {
  mkdirSync(REPORTS, {recursive: true});
  const {rss} = process.memoryUsage();
  const report = {
    residentBytes: rss,
    processor: process.cpuUsage(),
    series: results,
  };
  const json = `${JSON.stringify(report, null, 2)}\n`;
  writeFileSync(`${REPORTS}/${name}.json`, json);
  writeFileSync(`${REPORTS}/${name}.svg`, plotSvg(results));
}

/** Counted figures over their bounds fail; others depend on the machine. */
function reportOver(results: readonly SeriesResult[]): number {
  const known = readKnownSlopeFailures();
  let failures = 0;
  for (const result of results) {
    if (!result.over) {
      continue;
    }
    const listed = isKnownSlopeFailure(known, result.name);
    const judged = result.counted && !listed;
    failures += judged ? 1 : 0;
    print(`${overWord(result.counted, listed)}: ${result.name}`);
  }
  return failures;
}

function overWord(counted: boolean, listed: boolean): string {
  if (!counted) {
    return 'OVER (not judged here)';
  }
  return listed ? 'KNOWN RED' : 'OVER';
}

function reportDifferences(
  page: string,
  results: readonly SeriesResult[],
): number {
  const differences = compareWithPage(page, results);
  for (const {name, size, page: stated, run} of differences) {
    print(`${PAGE} says ${stated ?? 'nothing'} for ${name} at ${size}: ${run}`);
  }
  return differences.length;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

main();
