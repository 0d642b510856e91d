/**
 * Compares requests through an entry VM with direct ones to the same target,
 * in turns: `load_main ENTRY_FILE TARGET_FILE SECONDS CONCURRENCIES [LOOKUPS]`.
 */
import {got} from 'got';
import {createSystemTimerService} from '@ibisbeam/library';
import {
  type EntryAnnouncement,
  type TargetAnnouncement,
  type Usage,
  readAnnouncement,
} from './announce.js';
import {
  type LoadResult,
  type LoadTarget,
  closedLoop,
  openLoop,
} from './load.js';

/** Longer than a target's slow start. */
const WARM_UP_MS = 12_000;
const ROUNDS = 3;

const [, , entryFile, targetFile, seconds, concurrencies, lookups] =
  process.argv;
const entry = readAnnouncement<EntryAnnouncement>(entryFile!);
const target = readAnnouncement<TargetAnnouncement>(targetFile!);
const timers = createSystemTimerService();
const spanMs = (Number(seconds ?? 5) * 1_000) / ROUNDS;

const direct: LoadTarget = {url: `http://${target.address}/rooms`, headers: {}};
const headers = {authorization: `Bearer ${entry.token}`};
const base = `http://${entry.callerAddress}/v1`;
const forwarded: LoadTarget = {
  url: `${base}/workspaces/${entry.workspace}/services/${entry.service}/rooms`,
  headers,
};
const lookup: LoadTarget = {
  url: `${base}/entry-vms?workspace=${entry.workspace}&service=${entry.service}&client=64.0.3.9`,
  headers,
};

await untilReady();
process.stdout.write(
  'in flight | direct p50/p99 ms, /s | forwarded p50/p99 ms, /s | added p50, p99 ms | ratio p50, p99, /s | processor per request µs\n',
);
for (const text of (concurrencies ?? '').split(',').filter(Boolean)) {
  await compare(Number(text));
}
if (lookups) {
  await measureLookups(Number(lookups));
}

async function compare(inFlight: number): Promise<void> {
  await closedLoop(timers, forwarded, inFlight, WARM_UP_MS);
  await closedLoop(timers, direct, inFlight, 1_000);
  const directs: LoadResult[] = [];
  const forwards: LoadResult[] = [];
  let processorMs = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    directs.push(await closedLoop(timers, direct, inFlight, spanMs));
    const before = await usage();
    forwards.push(await closedLoop(timers, forwarded, inFlight, spanMs));
    processorMs += (await usage()).processorMs - before.processorMs;
  }
  const one = middleOf(directs);
  const other = middleOf(forwards);
  const requests = forwards.reduce((sum, result) => sum + result.requests, 0);
  const failures = [...directs, ...forwards].reduce(
    (sum, result) => sum + result.failures,
    0,
  );
  const columns = [
    String(inFlight),
    `${describe(one)}`,
    `${describe(other)}`,
    `${(other.medianMs - one.medianMs).toFixed(2)}, ${(other.p99Ms - one.p99Ms).toFixed(2)}`,
    `${(other.medianMs / one.medianMs).toFixed(2)}, ${(other.p99Ms / one.p99Ms).toFixed(2)}, ${(rateOf(other) / rateOf(one)).toFixed(2)}`,
    ((processorMs / requests) * 1_000).toFixed(0),
  ];
  const failed = failures > 0 ? ` FAILURES ${failures}` : '';
  process.stdout.write(`${columns.join(' | ')}${failed}\n`);
}

async function measureLookups(perSecond: number): Promise<void> {
  await openLoop(timers, lookup, perSecond, 2_000);
  const before = await usage();
  const result = await openLoop(timers, lookup, perSecond, spanMs * ROUNDS);
  const after = await usage();
  const processorMs = after.processorMs - before.processorMs;
  const cores = processorMs / result.spanMs;
  process.stdout.write(
    `look-ups: ${rateOf(result).toFixed(0)}/s, p50 ${result.medianMs.toFixed(2)} ms, p99 ${result.p99Ms.toFixed(2)} ms, ${result.failures} failures, ${cores.toFixed(3)} cores, resident ${(after.residentBytes / 1e6).toFixed(0)} MB\n`,
  );
}

function describe(result: LoadResult): string {
  const {medianMs, p99Ms} = result;
  return `${medianMs.toFixed(2)} / ${p99Ms.toFixed(2)}, ${rateOf(result).toFixed(0)}`;
}

function rateOf(result: LoadResult): number {
  return (result.requests / result.spanMs) * 1_000;
}

/** The round with the middle median. */
function middleOf(results: readonly LoadResult[]): LoadResult {
  const sorted = [...results].sort(
    (one, other) => one.medianMs - other.medianMs,
  );
  return sorted[Math.floor(sorted.length / 2)]!;
}

function usage(): Promise<Usage> {
  return got(`http://${entry.usageAddress}`).json<Usage>();
}

async function untilReady(): Promise<void> {
  for (;;) {
    const sent = await closedLoop(timers, forwarded, 1, 1);
    const looked = await closedLoop(timers, lookup, 1, 1);
    if (sent.failures + looked.failures === 0) {
      return;
    }
    await timers.sleep(100);
  }
}
