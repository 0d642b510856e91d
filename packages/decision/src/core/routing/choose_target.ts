/** Chooses among the targets of a pool that have a free slot. */
import type {Preference, RandomSource, ZoneName} from '../model/index.js';
import {type TargetRecord, weightOfPast} from './target_record.js';

export interface TargetCandidate {
  readonly record: TargetRecord;
  /** Requests of this VM in flight at the target. */
  readonly inFlight: number;
  /** Concurrency limit of this VM at the target. */
  readonly limit: number;
}

export interface ChoiceContext {
  readonly preference: Preference;
  readonly zone: ZoneName;
  readonly random: RandomSource;
  readonly nowMs: number;
}

/** Round-trip time between two availability zones of a region. */
const CROSS_ZONE_ROUND_TRIP_MS = 3;
/** Latency that a failure is equivalent to. */
const FAILURE_COST_MS = 1_000;
/** Candidates compared; a random sample is taken if there are more. */
const MAXIMUM_COMPARED_CANDIDATES = 16;
/** Latency that a full concurrency limit is equivalent to. */
const HEADROOM_WEIGHT_MS = 10_000;
const DEFAULT_LATENCY_MS = 20;

/**
 * Returns the candidate with the lowest cost, or undefined if there are no
 * candidates. Ties are broken at random.
 */
export function chooseTarget(
  candidates: readonly TargetCandidate[],
  context: ChoiceContext,
): TargetCandidate | undefined {
  const usual = usualLatency(candidates);
  let best: TargetCandidate | undefined;
  let bestCost = Infinity;
  for (const candidate of sample(candidates, context.random)) {
    const jitter = 1 + context.random.next() * 1e-3;
    const cost = costOf(candidate, usual, context) * jitter;
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}

function sample(
  candidates: readonly TargetCandidate[],
  random: RandomSource,
): readonly TargetCandidate[] {
  if (candidates.length <= MAXIMUM_COMPARED_CANDIDATES) {
    return candidates;
  }
  const drawn: TargetCandidate[] = [];
  for (let count = 0; count < MAXIMUM_COMPARED_CANDIDATES; count += 1) {
    drawn.push(candidates[random.below(candidates.length)]!);
  }
  return drawn;
}

interface UsualLatency {
  readonly meanMs: number;
  readonly leastMs: number;
}

function usualLatency(candidates: readonly TargetCandidate[]): UsualLatency {
  let totalMs = 0;
  let leastMs = Infinity;
  let known = 0;
  for (const {record} of candidates) {
    if (record.responses > 0) {
      totalMs += record.latencyMs;
      leastMs = Math.min(leastMs, record.latencyMs);
      known += 1;
    }
  }
  return known === 0
    ? {meanMs: DEFAULT_LATENCY_MS, leastMs: DEFAULT_LATENCY_MS}
    : {meanMs: totalMs / known, leastMs};
}

/** @param past What earlier latencies still say, 0 to 1. */
function expectedLatencyMs(
  {responses, latencyMs, deviationMs}: TargetRecord,
  usual: UsualLatency,
  past: number,
): number {
  if (responses === 0) {
    return usual.meanMs;
  }
  const observedMs = latencyMs + 2 * deviationMs;
  const excessMs = Math.max(0, observedMs - usual.leastMs);
  return observedMs - excessMs * (1 - past);
}

/** Expected cost of a request at the target, in milliseconds. */
function costOf(
  candidate: TargetCandidate,
  usual: UsualLatency,
  context: ChoiceContext,
): number {
  const {record, inFlight, limit} = candidate;
  const past = weightOfPast(record, inFlight, context.nowMs);
  const latencyMs = expectedLatencyMs(record, usual, past);
  const zoneMs =
    record.target.zone === context.zone ? 0 : CROSS_ZONE_ROUND_TRIP_MS;
  const failureMs = record.failureRate * past * FAILURE_COST_MS;
  const usage = (inFlight + 1) / Math.max(1, limit);
  switch (context.preference) {
    case 'latency':
      return latencyMs * (1 + usage / 2) + zoneMs + failureMs;
    case 'headroom':
      return usage * HEADROOM_WEIGHT_MS + latencyMs + zoneMs + failureMs * 10;
  }
}
