/** Counts finished requests and merges counts. */
import type {Histogram} from 'hdr-histogram-js';
import {
  type RequestRecord,
  type ServiceName,
  type WorkspaceName,
  assertNever,
} from '../model/index.js';
import {classifyRequestRecord, spendsErrorBudget} from './budget_rules.js';
import type {ServiceCounts} from './burn_types.js';
import {
  createLatencyHistogram,
  encodeHistogram,
  mergeHistograms,
  recordLatency,
} from './latency_histogram.js';

/** Accumulates the counts of the current time span. */
export interface RequestCountRecorder {
  /** Without a latency threshold, no response counts as late. */
  record(record: RequestRecord, latencyThresholdMs: number | undefined): void;
  counts(): readonly ServiceCounts[];
}

interface Accumulator {
  readonly counts: {-readonly [Key in keyof ServiceCounts]: ServiceCounts[Key]};
  readonly refused: Record<string, number>;
  readonly latency: Histogram;
}

export function createRequestCountRecorder(): RequestCountRecorder {
  const byService = new Map<string, Accumulator>();

  function accumulatorOf(
    workspace: WorkspaceName,
    service: ServiceName,
  ): Accumulator {
    const key = `${workspace} ${service}`;
    const known = byService.get(key);
    if (known) {
      return known;
    }
    const refused: Record<string, number> = {};
    const accumulator: Accumulator = {
      counts: {...createEmptyServiceCounts(workspace, service), refused},
      refused,
      latency: createLatencyHistogram(),
    };
    byService.set(key, accumulator);
    return accumulator;
  }

  function record(
    finished: RequestRecord,
    latencyThresholdMs: number | undefined,
  ): void {
    const {counts, refused, latency} = accumulatorOf(
      finished.workspace,
      finished.service,
    );
    const recordClass = classifyRequestRecord(finished);
    switch (recordClass.kind) {
      case 'answered':
        counts.answered += 1;
        recordLatency(latency, finished.durationMs);
        if (
          latencyThresholdMs !== undefined &&
          finished.durationMs > latencyThresholdMs
        ) {
          counts.late += 1;
        }
        return;
      case 'failed':
        counts.failed += 1;
        return;
      case 'unknown':
        counts.unknown += 1;
        return;
      case 'caller-gone':
        counts.callerGone += 1;
        return;
      case 'refused':
        refused[recordClass.reason] = (refused[recordClass.reason] ?? 0) + 1;
        return;
      default:
        assertNever(recordClass);
    }
  }

  return {
    record,
    counts: () => {
      const services: ServiceCounts[] = [];
      for (const {counts, refused, latency} of byService.values()) {
        services.push({
          ...counts,
          refused: {...refused},
          latency: encodeHistogram(latency),
        });
      }
      return services;
    },
  };
}

export function createEmptyServiceCounts(
  workspace: WorkspaceName,
  service: ServiceName,
): ServiceCounts {
  return {
    workspace,
    service,
    answered: 0,
    late: 0,
    failed: 0,
    unknown: 0,
    callerGone: 0,
    refused: {},
    latency: '',
  };
}

/** @param parts Counts of the same workspace and service; at least one. */
export function mergeServiceCounts(
  parts: readonly ServiceCounts[],
): ServiceCounts {
  const first = parts[0]!;
  const refused: Record<string, number> = {};
  const merged = {
    ...createEmptyServiceCounts(first.workspace, first.service),
    refused,
  };
  for (const part of parts) {
    merged.answered += part.answered;
    merged.late += part.late;
    merged.failed += part.failed;
    merged.unknown += part.unknown;
    merged.callerGone += part.callerGone;
    for (const [reason, count] of Object.entries(part.refused)) {
      refused[reason] = (refused[reason] ?? 0) + count;
    }
  }
  const histograms = parts.map(part => part.latency);
  return {...merged, latency: encodeHistogram(mergeHistograms(histograms))};
}

/** Number of requests that spent the availability budget, by reason. */
export function countBudgetSpentByReason(
  counts: ServiceCounts,
): ReadonlyMap<string, number> {
  const spent = new Map<string, number>();
  addPositive(spent, 'target-error', counts.failed);
  addPositive(spent, 'unknown-outcome', counts.unknown);
  for (const [reason, count] of Object.entries(counts.refused)) {
    if (spendsErrorBudget(reason)) {
      addPositive(spent, reason, count);
    }
  }
  return spent;
}

function addPositive(
  spent: Map<string, number>,
  reason: string,
  count: number,
): void {
  if (count > 0) {
    spent.set(reason, (spent.get(reason) ?? 0) + count);
  }
}

/** Requests that count towards availability, and how many of them were bad. */
export function measureAvailability(counts: ServiceCounts): {
  readonly total: number;
  readonly bad: number;
} {
  let bad = 0;
  for (const count of countBudgetSpentByReason(counts).values()) {
    bad += count;
  }
  return {total: counts.answered + bad, bad};
}
