/** Computes the figures of a run from its trace and its outcomes. */
import {
  type RefusalReason,
  type RegionName,
  type RequestId,
  type ServiceName,
  type TargetId,
  regionName,
  serviceName,
} from '@ibisbeam/decision';
import {
  type CheckName,
  type Trace,
  type TraceEvent,
  type Violation,
  amplificationRatio,
  checkTrace,
  totalOverloadMs,
} from '@ibisbeam/invariants';
import type {RunResult} from './run_scenario.js';

const HEADROOM_BUCKET_MS = 1_000;

export interface RefusalCount {
  readonly reason: RefusalReason;
  readonly count: number;
  /** Refusals that stated the outcome `not-run`. */
  readonly notRun: number;
  /** Refusals counted in `notRun` whose request had in fact not run. */
  readonly truthful: number;
}

export interface ServiceFigures {
  readonly service: ServiceName;
  readonly offered: number;
  readonly goodputPerSecond: number;
  readonly answeredFraction: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

export interface Figures {
  readonly services: readonly ServiceFigures[];
  readonly goodputPerSecond: number;
  /**
   * Smallest fraction of free slots of any service, averaged over each second
   * of the measurement.
   */
  readonly smallestHeadroom: ReadonlyMap<RegionName, number>;
  readonly violations: readonly Violation[];
  readonly overloadMs: number;
  readonly amplification: number;
  readonly refusals: readonly RefusalCount[];
  /**
   * Time from the first leaving notice to the last request that left the
   * target; absent if no target was drained.
   */
  readonly drainMs?: number;
  /** Operations that ended without an answer or with an error status. */
  readonly unanswered: number;
}

export function measure(run: RunResult): Figures {
  const violations = checkTrace(run.trace);
  const services = measureServices(run);
  let goodput = 0;
  for (const service of services) {
    goodput += service.goodputPerSecond;
  }
  return {
    services,
    goodputPerSecond: goodput,
    smallestHeadroom: measureHeadroom(run),
    violations,
    overloadMs: totalOverloadMs(violations),
    amplification: amplificationRatio(run.trace),
    refusals: countRefusals(run.trace, violations),
    drainMs: measureDrain(run.trace),
    unanswered: run.outcomes.filter(
      outcome => outcome.kind === 'no-answer' || outcome.kind === 'failed',
    ).length,
  };
}

export function countViolations(figures: Figures, check: CheckName): number {
  return figures.violations.filter(one => one.check === check).length;
}

function measureServices(run: RunResult): readonly ServiceFigures[] {
  const {measureFromMs, durationMs} = run.scenario;
  const latencies = new Map<ServiceName, number[]>();
  const offered = new Map<ServiceName, number>();
  for (const {operation, endedMs, kind} of run.outcomes) {
    if (operation.startedMs < measureFromMs) {
      continue;
    }
    const {service} = operation;
    offered.set(service, (offered.get(service) ?? 0) + 1);
    if (kind !== 'answered') {
      continue;
    }
    const serviceLatencies = latencies.get(service) ?? [];
    serviceLatencies.push(endedMs - operation.startedMs);
    latencies.set(service, serviceLatencies);
  }
  const seconds = (durationMs - measureFromMs) / 1_000;
  return [...offered].sort().map(([service, count]) => {
    const sorted = (latencies.get(service) ?? []).sort((a, b) => a - b);
    return {
      service,
      offered: count,
      goodputPerSecond: sorted.length / seconds,
      answeredFraction: sorted.length / count,
      p50Ms: quantile(sorted, 0.5),
      p99Ms: quantile(sorted, 0.99),
      p999Ms: quantile(sorted, 0.999),
    };
  });
}

function quantile(sorted: readonly number[], fraction: number): number {
  const index = Math.ceil(fraction * sorted.length) - 1;
  return sorted[Math.max(index, 0)] ?? Infinity;
}

interface Usage {
  held: number;
  sinceMs: number;
  /** Occupied slot time in milliseconds, by bucket. */
  readonly buckets: Map<number, number>;
}

function measureHeadroom(run: RunResult): ReadonlyMap<RegionName, number> {
  const {setup: setup, events} = run.trace;
  const usages = new Map<string, Usage>();
  const slots = new Map<string, number>();
  for (const {service, region, slots: own} of setup.targets.values()) {
    const key = `${region}/${service}`;
    slots.set(key, (slots.get(key) ?? 0) + own);
    usages.set(key, {held: 0, sinceMs: 0, buckets: new Map()});
  }
  const held = new Map<TargetId, number>();
  for (const event of events) {
    const change = heldRequestChange(event, held);
    if (!change) {
      continue;
    }
    held.set(change.target, (held.get(change.target) ?? 0) + change.by);
    const target = setup.targets.get(change.target)!;
    const usage = usages.get(`${target.region}/${target.service}`)!;
    accumulateUsage(usage, event.atMs);
    usage.held += change.by;
  }
  const smallest = new Map<RegionName, number>();
  const firstBucket = run.scenario.measureFromMs / HEADROOM_BUCKET_MS;
  const lastBucket = run.scenario.durationMs / HEADROOM_BUCKET_MS;
  for (const [key, usage] of usages) {
    const region = regionName(key.split('/')[0]!);
    for (const [bucket, used] of usage.buckets) {
      if (bucket < firstBucket || bucket >= lastBucket) {
        continue;
      }
      const free = 1 - used / HEADROOM_BUCKET_MS / slots.get(key)!;
      smallest.set(region, Math.min(smallest.get(region) ?? 1, free));
    }
  }
  return smallest;
}

function heldRequestChange(
  event: TraceEvent,
  held: ReadonlyMap<TargetId, number>,
): {readonly target: TargetId; readonly by: number} | undefined {
  switch (event.kind) {
    case 'target-entered':
      return {target: event.target, by: 1};
    case 'target-left':
      return {target: event.target, by: -1};
    case 'target-lost':
      return {target: event.target, by: -(held.get(event.target) ?? 0)};
    default:
      return undefined;
  }
}

function accumulateUsage(usage: Usage, atMs: number): void {
  let fromMs = usage.sinceMs;
  while (fromMs < atMs) {
    const bucket = Math.floor(fromMs / HEADROOM_BUCKET_MS);
    const untilMs = Math.min(atMs, (bucket + 1) * HEADROOM_BUCKET_MS);
    const used = usage.held * (untilMs - fromMs);
    usage.buckets.set(bucket, (usage.buckets.get(bucket) ?? 0) + used);
    fromMs = untilMs;
  }
  usage.sinceMs = atMs;
}

function countRefusals(
  trace: Trace,
  violations: readonly Violation[],
): readonly RefusalCount[] {
  const untruthful = new Set<string>();
  for (const violation of violations) {
    if (violation.check === 'truthful-refusal') {
      untruthful.add(violation.subject);
    }
  }
  const counts = new Map<
    RefusalReason,
    {count: number; notRun: number; truthful: number}
  >();
  for (const event of trace.events) {
    if (event.kind !== 'request-ended' || event.end.kind !== 'refused') {
      continue;
    }
    const {reason, outcome} = event.end;
    const refusals = counts.get(reason) ?? {count: 0, notRun: 0, truthful: 0};
    counts.set(reason, refusals);
    refusals.count += 1;
    if (outcome === 'not-run') {
      refusals.notRun += 1;
      refusals.truthful += untruthful.has(event.request) ? 0 : 1;
    }
  }
  return [...counts]
    .sort()
    .map(([reason, refusals]) => ({reason, ...refusals}));
}

function measureDrain(trace: Trace): number | undefined {
  let leavingSinceMs: number | undefined;
  let lastLeftMs: number | undefined;
  let target: string | undefined;
  const held = new Set<RequestId>();
  for (const event of trace.events) {
    if (event.kind === 'leaving-signed' && leavingSinceMs === undefined) {
      leavingSinceMs = event.atMs;
      target = event.target;
    }
    if (event.kind === 'target-left' && event.target === target) {
      lastLeftMs = event.atMs;
      held.delete(event.request);
    }
  }
  if (leavingSinceMs === undefined) {
    return undefined;
  }
  return Math.max((lastLeftMs ?? leavingSinceMs) - leavingSinceMs, 0);
}

/** The latency-sensitive service of the deployment. */
export function interactiveService(run: RunResult): ServiceName {
  return run.scenario.deployment === 'daugava'
    ? serviceName('room-availability')
    : serviceName('measurement-sheets');
}
