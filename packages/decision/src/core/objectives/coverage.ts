/** Merges the summaries of several VMs and lists the gaps in their coverage. */
import type {VmId} from '../model/index.js';
import type {BurnSlice, BurnSummary} from './burn_types.js';

/** Interval at which a VM writes its summary to the store. */
export const BURN_WRITE_INTERVAL_MS = 900_000;

/** Counts that are missing from a report. Unix times in milliseconds. */
export interface CoverageGap {
  readonly vm: VmId;
  readonly why: string;
  /** Start of the missing counts. */
  readonly fromMs?: number;
  /** Start of the VM's next run, if there is one. */
  readonly toMs?: number;
}

export interface MergedBurnSummaries {
  readonly hours: readonly BurnSlice[];
  readonly slices: readonly BurnSlice[];
  readonly gaps: readonly CoverageGap[];
  /** Earliest Unix time at which a run started to count. */
  readonly countedFromMs?: number;
}

/**
 * @param stored Summaries from the store; a run may have several, which hold
 *   different hours.
 * @param live Current summaries that VMs returned; they supersede stored ones.
 * @param unreachable Configured VMs that returned no summary.
 */
export function mergeBurnSummaries(
  stored: readonly BurnSummary[],
  live: readonly BurnSummary[],
  unreachable: readonly VmId[],
): MergedBurnSummaries {
  const hours = new Map<string, BurnSlice>();
  const latestByRun = new Map<string, BurnSummary>();
  for (const summary of [...stored, ...live]) {
    const runKey = runKeyOf(summary);
    for (const hour of summary.hours) {
      const key = `${runKey} ${hour.startMs}`;
      hours.set(key, moreCompleteOf(hours.get(key), hour));
    }
    const known = latestByRun.get(runKey);
    if (!known || summary.countedToMs >= known.countedToMs) {
      latestByRun.set(runKey, summary);
    }
  }
  return {
    hours: [...hours.values()],
    slices: live.flatMap(summary => summary.slices),
    gaps: findGaps([...latestByRun.values()], live, unreachable),
    countedFromMs: earliestStart([...latestByRun.values()]),
  };
}

/**
 * Identifies one run of a VM's counting task. A restart of the task within the
 * same incarnation starts a new run with counts of its own.
 */
function runKeyOf({vm, incarnation, countedFromMs}: BurnSummary): string {
  return `${vm} ${incarnation} ${countedFromMs}`;
}

function earliestStart(runs: readonly BurnSummary[]): number | undefined {
  let earliest: number | undefined;
  for (const {countedFromMs} of runs) {
    earliest = Math.min(earliest ?? countedFromMs, countedFromMs);
  }
  return earliest;
}

/** Counts of an hour only grow, so the slice with more requests is newer. */
function moreCompleteOf(
  known: BurnSlice | undefined,
  found: BurnSlice,
): BurnSlice {
  if (!known) {
    return found;
  }
  return requestCount(found) >= requestCount(known) ? found : known;
}

function requestCount(slice: BurnSlice): number {
  let requests = 0;
  for (const counts of slice.services) {
    requests +=
      counts.answered + counts.failed + counts.unknown + counts.callerGone;
    for (const count of Object.values(counts.refused)) {
      requests += count;
    }
  }
  return requests;
}

function findGaps(
  runs: readonly BurnSummary[],
  live: readonly BurnSummary[],
  unreachable: readonly VmId[],
): readonly CoverageGap[] {
  const gaps: CoverageGap[] = [];
  const liveRuns = new Set(live.map(runKeyOf));
  for (const summary of runs) {
    if (summary.final || liveRuns.has(runKeyOf(summary))) {
      continue;
    }
    gaps.push({
      vm: summary.vm,
      why: `incarnation ${summary.incarnation} gave no later summary`,
      fromMs: summary.countedToMs,
      toMs: nextRunStart(runs, summary),
    });
  }
  for (const vm of unreachable) {
    gaps.push({
      vm,
      why: 'did not answer; counts that it has not yet stored are missing',
    });
  }
  return gaps;
}

function nextRunStart(
  runs: readonly BurnSummary[],
  ended: BurnSummary,
): number | undefined {
  const later = runs.filter(
    run => run.vm === ended.vm && run.countedFromMs >= ended.countedToMs,
  );
  return earliestStart(later);
}
