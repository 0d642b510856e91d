/** Latency, failures and concurrency limit of a target as one VM sees them. */
import {type SampleAging, weightAtAge} from '../averages/index.js';
import type {Target, TargetId} from '../model/index.js';
import type {TargetLeavingSource, TargetReport} from '../steering/types.js';

export interface TargetRecord {
  readonly target: Target;
  /** Moving averages of latency and its deviation; 0 without responses. */
  latencyMs: number;
  deviationMs: number;
  responses: number;
  /** Time of the last response or failure. */
  sampledAtMs: number;
  /** Moving average of the fraction of attempts that failed, 0 to 1. */
  failureRate: number;
  consecutiveFailures: number;
  /** Usable fraction of the slots, 0 to 1; adapts to load shedding. */
  limitFraction: number;
  /** Whether the limit grows in large steps; ends when a request is shed. */
  inSlowStart: boolean;
  lastShedAtMs: number;
  lastUsedAtMs: number;
  ejectedUntilMs: number;
  ejections: number;
  /** Whether the end of the latest ejection has not been reported yet. */
  ejectionEndPending: boolean;
  /** Set by an ejection; the limit is then one request until one succeeds. */
  isHalfOpen: boolean;
  leaving?: LeavingSignal;
  report?: {readonly report: TargetReport; readonly atMs: number};
}

export interface LeavingSignal {
  readonly source: TargetLeavingSource;
  /** Start of consecutive healthy reports that do not announce leaving. */
  healthySinceMs?: number;
}

/**
 * A target that is avoided for its past answers brings no new ones. They lose
 * their weight after this time, so that a request tries the target again.
 */
const AVOIDANCE_AGING: SampleAging = {freshMs: 2_000, decayMs: 2_000};
const INITIAL_LIMIT_FRACTION = 0.5;
const SMOOTHING = 0.3;
const FAILURE_SMOOTHING = 0.2;
const SLOW_START_STEP = 0.1;
const STEADY_STEP = 0.02;
const SHED_FACTOR = 0.7;
const SHED_COOLDOWN_MS = 100;
const MINIMUM_LIMIT_FRACTION = 0.1;
const MAXIMUM_EJECTION_MS = 60_000;
const FAILURES_TO_EJECT = 3;
const FAILURE_RATE_TO_EJECT = 0.6;

export function createTargetRecord(target: Target): TargetRecord {
  return {
    target,
    latencyMs: 0,
    deviationMs: 0,
    responses: 0,
    sampledAtMs: -Infinity,
    failureRate: 0,
    consecutiveFailures: 0,
    limitFraction: INITIAL_LIMIT_FRACTION,
    inSlowStart: true,
    lastShedAtMs: -Infinity,
    lastUsedAtMs: -Infinity,
    ejectedUntilMs: -Infinity,
    ejections: 0,
    ejectionEndPending: false,
    isHalfOpen: false,
  };
}

/** Records a successful response. */
export function recordResponse(
  record: TargetRecord,
  latencyMs: number,
  nowMs: number,
): void {
  const past = weightAtAge(AVOIDANCE_AGING, record.sampledAtMs, nowMs);
  recordLatency(record, latencyMs, past);
  record.responses += 1;
  record.failureRate *= Math.min(1 - FAILURE_SMOOTHING, past);
  record.sampledAtMs = nowMs;
  record.consecutiveFailures = 0;
  record.isHalfOpen = false;
  const step = record.inSlowStart ? SLOW_START_STEP : STEADY_STEP;
  record.limitFraction = Math.min(1, record.limitFraction + step);
}

/** @param past What earlier latencies still say, 0 to 1. */
function recordLatency(
  record: TargetRecord,
  latencyMs: number,
  past: number,
): void {
  if (record.responses === 0) {
    record.latencyMs = latencyMs;
    record.deviationMs = latencyMs / 2;
    return;
  }
  const error = latencyMs - record.latencyMs;
  // Only what keeps requests away has lost weight with time.
  if (error < 0 && past < 1 - SMOOTHING) {
    record.latencyMs += (1 - past) * error;
    record.deviationMs += (1 - past) * (latencyMs / 2 - record.deviationMs);
    return;
  }
  record.latencyMs += SMOOTHING * error;
  record.deviationMs += SMOOTHING * (Math.abs(error) - record.deviationMs);
}

/**
 * What the latency and the failures of the target still say, 0 to 1. While it
 * has a request, they count in full: its answer decides.
 */
export function weightOfPast(
  {sampledAtMs}: TargetRecord,
  inFlight: number,
  nowMs: number,
): number {
  return inFlight > 0 ? 1 : weightAtAge(AVOIDANCE_AGING, sampledAtMs, nowMs);
}

/** Records that the target shed a request; lowers the limit. */
export function recordShed(record: TargetRecord, nowMs: number): void {
  if (nowMs - record.lastShedAtMs < SHED_COOLDOWN_MS) {
    return;
  }
  record.lastShedAtMs = nowMs;
  record.inSlowStart = false;
  record.limitFraction = Math.max(
    MINIMUM_LIMIT_FRACTION,
    record.limitFraction * SHED_FACTOR,
  );
}

/** Records a failure that the target caused. */
export function recordFailure(record: TargetRecord, nowMs: number): void {
  record.sampledAtMs = nowMs;
  record.failureRate += FAILURE_SMOOTHING * (1 - record.failureRate);
  record.consecutiveFailures += 1;
}

/** Whether the target has failed enough to be ejected. */
export function isOutlier(record: TargetRecord): boolean {
  return (
    record.consecutiveFailures >= FAILURES_TO_EJECT ||
    record.failureRate >= FAILURE_RATE_TO_EJECT ||
    (record.isHalfOpen && record.consecutiveFailures > 0)
  );
}

/**
 * Ejects the target.
 *
 * @param ejectionMs Duration of the first ejection; doubles with each further
 *     one, up to `MAXIMUM_EJECTION_MS`.
 */
export function eject(
  record: TargetRecord,
  ejectionMs: number,
  nowMs: number,
): void {
  const durationMs = Math.min(
    MAXIMUM_EJECTION_MS,
    ejectionMs * 2 ** Math.min(10, record.ejections),
  );
  record.ejections += 1;
  record.ejectionEndPending = true;
  record.ejectedUntilMs = nowMs + durationMs;
  record.isHalfOpen = true;
  record.consecutiveFailures = 0;
  record.failureRate = 0.5;
  record.limitFraction = INITIAL_LIMIT_FRACTION;
  record.inSlowStart = true;
}

export function isEjected(record: TargetRecord, nowMs: number): boolean {
  return record.ejectedUntilMs > nowMs;
}

/** Number of requests that this VM may have in flight at the target. */
export function concurrencyLimit(
  record: TargetRecord,
  usableSlots: number,
): number {
  if (usableSlots <= 0) {
    return 0;
  }
  if (record.isHalfOpen) {
    return 1;
  }
  return Math.max(1, Math.floor(usableSlots * record.limitFraction + 1e-9));
}

/** Why the target gets no requests now; undefined if it may get some. */
export function exclusionReason(
  record: TargetRecord,
  nowMs: number,
): 'leaving' | 'ejected' | undefined {
  if (record.leaving) {
    return 'leaving';
  }
  return isEjected(record, nowMs) ? 'ejected' : undefined;
}

export type TargetRecords = ReadonlyMap<TargetId, TargetRecord>;
