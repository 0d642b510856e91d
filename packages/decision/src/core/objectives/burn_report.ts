/** Error budget report for all workspaces and services. */
import type {
  Configuration,
  ServiceName,
  ServicePolicy,
  WorkspaceName,
} from '../model/index.js';
import {
  type BurnAlert,
  BURN_WINDOWS,
  type WindowBurnRate,
  findBurnAlert,
  computeBurnRate,
} from './burn_rates.js';
import {
  BURN_HOUR_MS,
  BURN_SLICE_MS,
  type BurnSlice,
  type ServiceCounts,
} from './burn_types.js';
import {
  measureAvailability,
  mergeServiceCounts,
  countBudgetSpentByReason,
} from './counts.js';
import type {CoverageGap, MergedBurnSummaries} from './coverage.js';
import {mergeHistograms} from './latency_histogram.js';

const DAY_MS = 86_400_000;
const WORST_HOUR_COUNT = 5;
/** Windows up to this length are computed from five-minute slices. */
const LONGEST_SLICED_WINDOW_MS = 6 * BURN_HOUR_MS;

export type Objective = ServicePolicy['objective'];

export interface ErrorBudget {
  /** Fraction of the requests that may be bad. */
  readonly allowedFraction: number;
  readonly total: number;
  readonly bad: number;
  /** Remaining fraction of the budget: 1 is untouched, below 0 is overspent. */
  readonly leftFraction: number;
  readonly rates: readonly WindowBurnRate[];
  readonly alert?: BurnAlert;
}

/** Request counts of one hour. */
export interface HourlyCounts {
  /** Unix time in milliseconds. */
  readonly startMs: number;
  readonly total: number;
  readonly bad: number;
  readonly answered: number;
  /** Number of `answered` that exceeded the latency threshold. */
  readonly late: number;
}

export interface ServiceBurnReport {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly objective: Objective;
  readonly availability: ErrorBudget;
  readonly latency: ErrorBudget;
  readonly quantilesMs: {
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
  };
  /** Requests that spent the availability budget, by reason, largest first. */
  readonly spent: readonly {readonly reason: string; readonly count: number}[];
  /** Refusals caused by the callers, which spend no budget. */
  readonly callerFaults: readonly {
    readonly reason: string;
    readonly count: number;
  }[];
  /** Requests whose caller disconnected before the response. */
  readonly callerGone: number;
  /** Up to five hours with the most bad and late requests, worst first. */
  readonly worstHours: readonly HourlyCounts[];
  /** All hours of the window that have counts, oldest first. */
  readonly hours: readonly HourlyCounts[];
}

export interface BurnReport {
  /** Unix time in milliseconds. */
  readonly atMs: number;
  /** Unix time at which the earliest run started to count, if any did. */
  readonly countedFromMs?: number;
  readonly gaps: readonly CoverageGap[];
  readonly services: readonly ServiceBurnReport[];
}

/** @param nowMs Unix time of the report in milliseconds. */
export function buildBurnReport(
  configuration: Configuration,
  summaries: MergedBurnSummaries,
  nowMs: number,
): BurnReport {
  const services: ServiceBurnReport[] = [];
  for (const [workspace, workspaceServices] of configuration.workspaces) {
    for (const [service, {policy}] of workspaceServices) {
      services.push(
        buildServiceBurn(
          workspace,
          service,
          policy.objective,
          summaries,
          nowMs,
        ),
      );
    }
  }
  return {
    atMs: nowMs,
    countedFromMs: summaries.countedFromMs,
    gaps: summaries.gaps,
    services,
  };
}

interface TimedCounts {
  readonly startMs: number;
  readonly counts: ServiceCounts;
}

function buildServiceBurn(
  workspace: WorkspaceName,
  service: ServiceName,
  objective: Objective,
  summaries: MergedBurnSummaries,
  nowMs: number,
): ServiceBurnReport {
  const fromMs = nowMs - objective.windowDays * DAY_MS;
  const inWindow = selectCounts(summaries.hours, workspace, service, fromMs);
  const slices = selectCounts(summaries.slices, workspace, service, 0);
  const hours = hoursOf(inWindow);
  const allCounts = inWindow.map(entry => entry.counts);
  const merged =
    allCounts.length > 0 ? mergeServiceCounts(allCounts) : undefined;
  const histogram = mergeHistograms(merged ? [merged.latency] : []);
  const source = {hours: inWindow, slices, nowMs};
  return {
    workspace,
    service,
    objective,
    availability: budgetOf(
      1 - objective.availability,
      merged ? [merged] : [],
      measureAvailability,
      source,
    ),
    latency: budgetOf(
      1 - objective.latencyFraction,
      merged ? [merged] : [],
      measureLatency,
      source,
    ),
    quantilesMs: {
      p50: histogram.getValueAtPercentile(50),
      p95: histogram.getValueAtPercentile(95),
      p99: histogram.getValueAtPercentile(99),
    },
    spent: sortedCounts(merged ? [...countBudgetSpentByReason(merged)] : []),
    callerFaults: sortedCounts(merged ? callerFaultsOf(merged) : []),
    callerGone: merged?.callerGone ?? 0,
    worstHours: worstHoursOf(hours),
    hours,
  };
}

function selectCounts(
  slices: readonly BurnSlice[],
  workspace: WorkspaceName,
  service: ServiceName,
  fromMs: number,
): readonly TimedCounts[] {
  const selected: TimedCounts[] = [];
  for (const slice of slices) {
    if (slice.startMs + slice.spanMs <= fromMs) {
      continue;
    }
    for (const counts of slice.services) {
      if (counts.workspace === workspace && counts.service === service) {
        selected.push({startMs: slice.startMs, counts});
      }
    }
  }
  return selected;
}

function measureLatency(counts: ServiceCounts): {total: number; bad: number} {
  return {total: counts.answered, bad: counts.late};
}

type Measure = (counts: ServiceCounts) => {total: number; bad: number};

function budgetOf(
  allowedFraction: number,
  counts: readonly ServiceCounts[],
  measure: Measure,
  source: {
    readonly hours: readonly TimedCounts[];
    readonly slices: readonly TimedCounts[];
    readonly nowMs: number;
  },
): ErrorBudget {
  const {total, bad} = sumCounts(counts, measure);
  const rates: WindowBurnRate[] = [];
  for (const {window, spanMs} of BURN_WINDOWS) {
    const usesSlices = spanMs <= LONGEST_SLICED_WINDOW_MS;
    const entries = usesSlices ? source.slices : source.hours;
    const stepMs = usesSlices ? BURN_SLICE_MS : BURN_HOUR_MS;
    const fromMs = source.nowMs - spanMs;
    const within = entries.filter(entry => entry.startMs + stepMs > fromMs);
    const counted = sumCounts(
      within.map(entry => entry.counts),
      measure,
    );
    rates.push(computeBurnRate(window, counted, allowedFraction));
  }
  const spent = total === 0 ? 0 : bad / (total * allowedFraction);
  const alert = findBurnAlert(rates);
  return {allowedFraction, total, bad, leftFraction: 1 - spent, rates, alert};
}

function sumCounts(
  counts: readonly ServiceCounts[],
  measure: Measure,
): {total: number; bad: number} {
  let total = 0;
  let bad = 0;
  for (const entry of counts) {
    const measured = measure(entry);
    total += measured.total;
    bad += measured.bad;
  }
  return {total, bad};
}

function hoursOf(entries: readonly TimedCounts[]): readonly HourlyCounts[] {
  const hours = new Map<number, HourlyCounts>();
  for (const {startMs, counts} of entries) {
    const known = hours.get(startMs);
    const {total, bad} = measureAvailability(counts);
    hours.set(startMs, {
      startMs,
      total: (known?.total ?? 0) + total,
      bad: (known?.bad ?? 0) + bad,
      answered: (known?.answered ?? 0) + counts.answered,
      late: (known?.late ?? 0) + counts.late,
    });
  }
  return [...hours.values()].sort((one, other) => one.startMs - other.startMs);
}

function worstHoursOf(hours: readonly HourlyCounts[]): readonly HourlyCounts[] {
  const bad = hours.filter(hour => hour.bad + hour.late > 0);
  bad.sort((one, other) => other.bad + other.late - (one.bad + one.late));
  return bad.slice(0, WORST_HOUR_COUNT);
}

function callerFaultsOf(
  counts: ServiceCounts,
): readonly (readonly [string, number])[] {
  const spent = countBudgetSpentByReason(counts);
  return Object.entries(counts.refused).filter(
    ([reason]) => !spent.has(reason),
  );
}

function sortedCounts(
  entries: readonly (readonly [string, number])[],
): readonly {reason: string; count: number}[] {
  const sorted = entries.map(([reason, count]) => ({reason, count}));
  sorted.sort((one, other) => other.count - one.count);
  return sorted;
}
