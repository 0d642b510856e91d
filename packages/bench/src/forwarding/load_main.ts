/**
 * Compares requests through an entry VM with direct requests to the same
 * target, in alternating rounds:
 * `load_main ENTRY_FILE TARGET_FILE SECONDS CONCURRENCIES [LOOKUPS]`.
 */
import {got} from 'got';
import {createSystemTimerService} from '@ibisbeam/library';
import {
  type EntryAnnouncement,
  type ProcessUsage,
  type TargetAnnouncement,
  readAnnouncement,
} from './announce.js';
import {
  type LoadResult,
  type LoadTarget,
  runClosedLoop,
  runOpenLoop,
} from './load.js';

/** Longer than the slow start of a target. */
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

await waitUntilReady();
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
  await runClosedLoop(timers, forwarded, inFlight, WARM_UP_MS);
  await runClosedLoop(timers, direct, inFlight, 1_000);
  const directRounds: LoadResult[] = [];
  const forwardedRounds: LoadResult[] = [];
  let processorMs = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    directRounds.push(await runClosedLoop(timers, direct, inFlight, spanMs));
    const before = await readUsage();
    forwardedRounds.push(
      await runClosedLoop(timers, forwarded, inFlight, spanMs),
    );
    processorMs += (await readUsage()).processorMs - before.processorMs;
  }
  const directResult = medianRound(directRounds);
  const forwardedResult = medianRound(forwardedRounds);
  const requests = forwardedRounds.reduce(
    (sum, result) => sum + result.requests,
    0,
  );
  const failures = [...directRounds, ...forwardedRounds].reduce(
    (sum, result) => sum + result.failures,
    0,
  );
  const columns = [
    String(inFlight),
    `${formatResult(directResult)}`,
    `${formatResult(forwardedResult)}`,
    `${(forwardedResult.medianMs - directResult.medianMs).toFixed(2)}, ${(forwardedResult.p99Ms - directResult.p99Ms).toFixed(2)}`,
    `${(forwardedResult.medianMs / directResult.medianMs).toFixed(2)}, ${(forwardedResult.p99Ms / directResult.p99Ms).toFixed(2)}, ${(requestsPerSecond(forwardedResult) / requestsPerSecond(directResult)).toFixed(2)}`,
    ((processorMs / requests) * 1_000).toFixed(0),
  ];
  const failed = failures > 0 ? ` FAILURES ${failures}` : '';
  process.stdout.write(`${columns.join(' | ')}${failed}\n`);
}

async function measureLookups(perSecond: number): Promise<void> {
  await runOpenLoop(timers, lookup, perSecond, 2_000);
  const before = await readUsage();
  const result = await runOpenLoop(timers, lookup, perSecond, spanMs * ROUNDS);
  const after = await readUsage();
  const processorMs = after.processorMs - before.processorMs;
  const cores = processorMs / result.spanMs;
  process.stdout.write(
    `look-ups: ${requestsPerSecond(result).toFixed(0)}/s, p50 ${result.medianMs.toFixed(2)} ms, p99 ${result.p99Ms.toFixed(2)} ms, ${result.failures} failures, ${cores.toFixed(3)} cores, resident ${(after.residentBytes / 1e6).toFixed(0)} MB\n`,
  );
}

function formatResult(result: LoadResult): string {
  const {medianMs, p99Ms} = result;
  return `${medianMs.toFixed(2)} / ${p99Ms.toFixed(2)}, ${requestsPerSecond(result).toFixed(0)}`;
}

function requestsPerSecond(result: LoadResult): number {
  return (result.requests / result.spanMs) * 1_000;
}

/** The round whose median latency is the median of all rounds. */
function medianRound(results: readonly LoadResult[]): LoadResult {
  const sorted = [...results].sort(
    (left, right) => left.medianMs - right.medianMs,
  );
  return sorted[Math.floor(sorted.length / 2)]!;
}

function readUsage(): Promise<ProcessUsage> {
  return got(`http://${entry.usageAddress}`).json<ProcessUsage>();
}

async function waitUntilReady(): Promise<void> {
  for (;;) {
    const sent = await runClosedLoop(timers, forwarded, 1, 1);
    const lookedUp = await runClosedLoop(timers, lookup, 1, 1);
    if (sent.failures + lookedUp.failures === 0) {
      return;
    }
    await timers.sleep(100);
  }
}
