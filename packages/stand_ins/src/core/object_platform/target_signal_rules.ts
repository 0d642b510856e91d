/**
 * The users' rules for targets that say that they are leaving or ask for a
 * pause, as checks over what targets and callers observed.
 */
import type {TargetArrival} from './rate_limit_rule.js';

/** An answer of the target said that it is leaving. */
export interface LeavingStatement {
  readonly attemptId: string;
  readonly atMs: number;
}

/** A refusal of the target asked the VM for a pause. */
export interface PauseStatement {
  readonly attemptId: string;
  readonly atMs: number;
  readonly pauseMs: number;
}

/** A VM has passed on an answer that says that its target is leaving. */
export interface PassedOnLeaving {
  readonly vm: string;
  readonly atMs: number;
}

/** What a client sent. */
export interface SentRequest {
  readonly vm: string;
  readonly sentMs: number;
}

export interface LeavingObservations {
  /** Longest time from the passed-on answer to the client's sending. */
  readonly drainMs: number;
  /** Requests that reached the leaving target. */
  readonly arrivals: readonly TargetArrival[];
  readonly passedOn: readonly PassedOnLeaving[];
  /** Undefined for requests that don't count. */
  requestOf(attemptId: string): SentRequest | undefined;
  /** Whether the VM restarted or was frozen in this span. */
  isExcused(vm: string, fromMs: number, toMs: number): boolean;
}

export interface LeavingViolation {
  readonly vm: string;
  readonly attemptId: string;
  /** Time from the passed-on answer to the client's sending. */
  readonly afterMs: number;
}

export interface PauseObservations {
  readonly arrivals: readonly TargetArrival[];
  readonly statements: readonly PauseStatement[];
  /** VM that sent the request; undefined if its requests don't count. */
  vmOf(attemptId: string): string | undefined;
  /** Whether the VM restarted, was frozen or was cut off in this span. */
  isExcused(vm: string, fromMs: number, toMs: number): boolean;
}

export interface PauseViolation {
  readonly vm: string;
  /** When the target asked for the pause. */
  readonly fromMs: number;
  readonly pauseMs: number;
  readonly arrived: number;
}

/** Requests may be on their way when the VM is told. */
const TOLD_DELAY_MS = 500;
const ALLOWED_REQUESTS_IN_PAUSE = 2;

/**
 * Returns the requests that a client sent later than `drainMs` after the VM had
 * passed on an answer of the leaving target, and that reached it nevertheless.
 */
export function findLeavingViolations(
  observations: LeavingObservations,
): readonly LeavingViolation[] {
  const firstPassedOnMs = new Map<string, number>();
  for (const {vm, atMs} of observations.passedOn) {
    const known = firstPassedOnMs.get(vm) ?? Infinity;
    firstPassedOnMs.set(vm, Math.min(known, atMs));
  }
  const violations: LeavingViolation[] = [];
  for (const {attemptId, atMs} of observations.arrivals) {
    const request = observations.requestOf(attemptId);
    if (!request) {
      continue;
    }
    const {vm, sentMs} = request;
    const passedOnMs = firstPassedOnMs.get(vm);
    if (
      passedOnMs === undefined ||
      sentMs <= passedOnMs + observations.drainMs ||
      observations.isExcused(vm, passedOnMs, atMs)
    ) {
      continue;
    }
    violations.push({vm, attemptId, afterMs: sentMs - passedOnMs});
  }
  return violations;
}

/**
 * Returns the pauses in which more than two requests of the VM that was asked
 * reached the target, from half a second after the refusal on.
 */
export function findPauseViolations(
  observations: PauseObservations,
): readonly PauseViolation[] {
  const violations: PauseViolation[] = [];
  for (const {attemptId, atMs: fromMs, pauseMs} of observations.statements) {
    const vm = observations.vmOf(attemptId);
    const toMs = fromMs + pauseMs;
    if (vm === undefined || observations.isExcused(vm, fromMs, toMs)) {
      continue;
    }
    const arrived = observations.arrivals.filter(
      arrival =>
        arrival.atMs > fromMs + TOLD_DELAY_MS &&
        arrival.atMs < toMs &&
        observations.vmOf(arrival.attemptId) === vm,
    ).length;
    if (arrived > ALLOWED_REQUESTS_IN_PAUSE) {
      violations.push({vm, fromMs, pauseMs, arrived});
    }
  }
  return violations;
}
