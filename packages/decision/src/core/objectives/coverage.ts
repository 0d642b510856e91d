/** Joins the summaries of many VMs, and says what is missing. */
import type {VmId} from '../model/index.js';
import type {BurnSlice, BurnSummary} from './burn_types.js';

/** Time between two writes of a VM's summary to the store. */
export const BURN_WRITE_INTERVAL_MS = 900_000;

/** What a report cannot show. Unix times in milliseconds. */
export interface CoverageGap {
  readonly vm: VmId;
  readonly why: string;
  /** What was counted after this is missing. */
  readonly fromMs?: number;
  /** When the VM's next life began to count, if it did. */
  readonly toMs?: number;
}

export interface MergedSummaries {
  readonly hours: readonly BurnSlice[];
  readonly slices: readonly BurnSlice[];
  readonly gaps: readonly CoverageGap[];
  /** Earliest Unix time from which anything was counted. */
  readonly countedFromMs?: number;
}

/**
 * @param stored Summaries from the store; several days of one life differ in
 *   their hours.
 * @param live Summaries that VMs gave just now; they go before stored ones.
 * @param unreachable VMs of the configuration that gave none.
 */
export function mergeSummaries(
  stored: readonly BurnSummary[],
  live: readonly BurnSummary[],
  unreachable: readonly VmId[],
): MergedSummaries {
  const hours = new Map<string, BurnSlice>();
  const lives = new Map<string, BurnSummary>();
  for (const summary of [...stored, ...live]) {
    const life = lifeOf(summary);
    for (const hour of summary.hours) {
      const key = `${life} ${hour.startMs}`;
      hours.set(key, newerOf(hours.get(key), hour));
    }
    const known = lives.get(life);
    if (!known || summary.countedToMs >= known.countedToMs) {
      lives.set(life, summary);
    }
  }
  return {
    hours: [...hours.values()],
    slices: live.flatMap(summary => summary.slices),
    gaps: findGaps([...lives.values()], live, unreachable),
    countedFromMs: earliestStart([...lives.values()]),
  };
}

/** A counting task that was restarted is a life of its own. */
function lifeOf({vm, incarnation, countedFromMs}: BurnSummary): string {
  return `${vm} ${incarnation} ${countedFromMs}`;
}

function earliestStart(lives: readonly BurnSummary[]): number | undefined {
  let earliest: number | undefined;
  for (const {countedFromMs} of lives) {
    earliest = Math.min(earliest ?? countedFromMs, countedFromMs);
  }
  return earliest;
}

/** An hour only grows, so that the one with more requests is the newer. */
function newerOf(known: BurnSlice | undefined, found: BurnSlice): BurnSlice {
  if (!known) {
    return found;
  }
  return requestsIn(found) >= requestsIn(known) ? found : known;
}

function requestsIn(slice: BurnSlice): number {
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
  lives: readonly BurnSummary[],
  live: readonly BurnSummary[],
  unreachable: readonly VmId[],
): readonly CoverageGap[] {
  const gaps: CoverageGap[] = [];
  const answering = new Set(live.map(lifeOf));
  for (const summary of lives) {
    if (summary.final || answering.has(lifeOf(summary))) {
      continue;
    }
    gaps.push({
      vm: summary.vm,
      why: `incarnation ${summary.incarnation} gave no later summary`,
      fromMs: summary.countedToMs,
      toMs: nextLifeStart(lives, summary),
    });
  }
  for (const vm of unreachable) {
    gaps.push({vm, why: 'did not answer; what it has not stored is missing'});
  }
  return gaps;
}

function nextLifeStart(
  lives: readonly BurnSummary[],
  ended: BurnSummary,
): number | undefined {
  const later = lives.filter(
    life => life.vm === ended.vm && life.countedFromMs >= ended.countedToMs,
  );
  return earliestStart(later);
}
