/** What this VM has seen of one target. */
import type {Target, TargetId} from '../model/index.js';
import type {TargetLeavingSource, TargetReport} from '../steering/types.js';

export interface TargetRecord {
  readonly target: Target;
  /** Smoothed time to a good answer and its mean deviation; 0 if none yet. */
  latencyMs: number;
  deviationMs: number;
  answers: number;
  /** Smoothed fraction of attempts that failed, 0 to 1. */
  failureRate: number;
  failuresInRow: number;
  /** Part of the slots that may be used, 0 to 1; adapts to sheds and latency. */
  limitFraction: number;
  /** Until the first shed the limit grows fast. */
  warming: boolean;
  shedAtMs: number;
  usedAtMs: number;
  ejectedUntilMs: number;
  ejections: number;
  /** The end of the ejection has yet to be noted. */
  ejectionNoted: boolean;
  /** After an ejection only one request at a time, until one is answered. */
  onProbation: boolean;
  leaving?: LeavingSign;
  report?: {readonly report: TargetReport; readonly atMs: number};
}

export interface LeavingSign {
  readonly source: TargetLeavingSource;
  /** Start of unbroken healthy reports that do not say leaving. */
  healthySinceMs?: number;
}

const FIRST_LIMIT_FRACTION = 0.5;
const SMOOTHING = 0.3;
const FAILURE_SMOOTHING = 0.2;
const WARMING_STEP = 0.1;
const STEADY_STEP = 0.02;
const SHED_FACTOR = 0.7;
const SHED_PAUSE_MS = 100;
const SMALLEST_LIMIT_FRACTION = 0.1;
const LONGEST_EJECTION_MS = 60_000;
const FAILURES_TO_EJECT = 3;
const FAILURE_RATE_TO_EJECT = 0.6;

export function createTargetRecord(target: Target): TargetRecord {
  return {
    target,
    latencyMs: 0,
    deviationMs: 0,
    answers: 0,
    failureRate: 0,
    failuresInRow: 0,
    limitFraction: FIRST_LIMIT_FRACTION,
    warming: true,
    shedAtMs: -Infinity,
    usedAtMs: -Infinity,
    ejectedUntilMs: -Infinity,
    ejections: 0,
    ejectionNoted: false,
    onProbation: false,
  };
}

/** A good answer after so many milliseconds. */
export function recordAnswer(record: TargetRecord, latencyMs: number): void {
  if (record.answers === 0) {
    record.latencyMs = latencyMs;
    record.deviationMs = latencyMs / 2;
  } else {
    const error = latencyMs - record.latencyMs;
    record.latencyMs += SMOOTHING * error;
    record.deviationMs += SMOOTHING * (Math.abs(error) - record.deviationMs);
  }
  record.answers += 1;
  record.failureRate *= 1 - FAILURE_SMOOTHING;
  record.failuresInRow = 0;
  record.onProbation = false;
  const step = record.warming ? WARMING_STEP : STEADY_STEP;
  record.limitFraction = Math.min(1, record.limitFraction + step);
}

/** The target refused work because it had too much. */
export function recordShed(record: TargetRecord, nowMs: number): void {
  if (nowMs - record.shedAtMs < SHED_PAUSE_MS) {
    return;
  }
  record.shedAtMs = nowMs;
  record.warming = false;
  record.limitFraction = Math.max(
    SMALLEST_LIMIT_FRACTION,
    record.limitFraction * SHED_FACTOR,
  );
}

/** An attempt failed through the target's own fault. */
export function recordFailure(record: TargetRecord): void {
  record.failureRate += FAILURE_SMOOTHING * (1 - record.failureRate);
  record.failuresInRow += 1;
}

/** Whether the target has failed enough to be passed over for a while. */
export function isOutlier(record: TargetRecord): boolean {
  return (
    record.failuresInRow >= FAILURES_TO_EJECT ||
    record.failureRate >= FAILURE_RATE_TO_EJECT ||
    (record.onProbation && record.failuresInRow > 0)
  );
}

export function eject(
  record: TargetRecord,
  ejectionMs: number,
  nowMs: number,
): void {
  const lastsMs = Math.min(
    LONGEST_EJECTION_MS,
    ejectionMs * 2 ** Math.min(10, record.ejections),
  );
  record.ejections += 1;
  record.ejectionNoted = true;
  record.ejectedUntilMs = nowMs + lastsMs;
  record.onProbation = true;
  record.failuresInRow = 0;
  record.failureRate = 0.5;
  record.limitFraction = FIRST_LIMIT_FRACTION;
  record.warming = true;
}

export function isEjected(record: TargetRecord, nowMs: number): boolean {
  return record.ejectedUntilMs > nowMs;
}

/** Requests that this VM may have at the target, out of its usable slots. */
export function concurrencyLimit(
  record: TargetRecord,
  usableSlots: number,
): number {
  if (usableSlots <= 0) {
    return 0;
  }
  if (record.onProbation) {
    return 1;
  }
  return Math.max(1, Math.floor(usableSlots * record.limitFraction + 1e-9));
}

/** Why the target gets no work now, or undefined if it may. */
export function barred(
  record: TargetRecord,
  nowMs: number,
): 'leaving' | 'ejected' | undefined {
  if (record.leaving) {
    return 'leaving';
  }
  return isEjected(record, nowMs) ? 'ejected' : undefined;
}

export type TargetRecords = ReadonlyMap<TargetId, TargetRecord>;
