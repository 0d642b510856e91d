/**
 * Records of what callers and targets observed, and the invariants checked on
 * them: at-most-once execution, truthful refusals, complete responses to the
 * caller's own request, no work for callers that left, drained targets, rate
 * limits and planned stops. Pure functions.
 */
import {
  type LimitStatement,
  type TargetArrival,
  findRateLimitViolations,
} from '@ibisbeam/stand-ins';

export interface CallRecord {
  readonly attemptId: string;
  readonly idempotent: boolean;
  readonly vm: string;
  /** The caller closed its connection before it got a response. */
  readonly hasLeft: boolean;
  readonly sentMs: number;
  readonly endedMs: number;
  /** 0 if the connection ended without a response. */
  readonly status: number;
  /** Whether the response was complete. */
  readonly whole: boolean;
  /** Seal header of the response, which names the target and the attempt. */
  readonly seal: string | undefined;
}

export interface RunRecord {
  readonly attemptId: string;
  readonly target: string;
  readonly atMs: number;
}

/** Answer of a target that did not end by itself. */
export interface EndlessAnswerRecord {
  readonly attemptId: string;
  readonly target: string;
  readonly extent: EndlessExtent;
  readonly startedAtMs: number;
  /** When the VM closed the connection; undefined if it is open. */
  readonly closedAtMs: number | undefined;
}

/** What a VM has passed on when it sees that an answer does not end. */
export type EndlessExtent =
  | 'nothing'
  /** The head and a part of the body. */
  | 'a-part'
  /** The complete answer, which was followed by other bytes. */
  | 'everything';

/** Period in which a VM is exempt from invariants with a time bound. */
export interface Disruption {
  readonly vm: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly kind: 'planned-stop' | 'other';
}

export interface Departure {
  readonly target: string;
  /** When the store accepted the target's draining state. */
  readonly atMs: number;
}

/** Period in which a target stated a rate limit. */
export interface LimitedPeriod {
  readonly target: string;
  readonly arrivals: readonly TargetArrival[];
  readonly statements: readonly LimitStatement[];
}

export interface Observations {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly endlessAnswers: readonly EndlessAnswerRecord[];
  readonly disruptions: readonly Disruption[];
  readonly departures: readonly Departure[];
  readonly limitedPeriods: readonly LimitedPeriod[];
  readonly endedAtMs: number;
}

export interface Violation {
  readonly invariant: string;
  readonly detail: string;
}

/** Statuses which state that the request has not run and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Maximum time from a departure to the last request at the target. */
const DRAIN_BOUND_MS = 2_500;
/** Maximum time from a caller's leaving to the last request at a target. */
const CALLER_LEFT_BOUND_MS = 500;
export const CALLER_DEADLINE_MS = 1_200;
/** Maximum time from the first byte of an answer without end to its close. */
const ENDLESS_CLOSED_MS = 4_000;
/** A VM that was stopped or restarted serves again this long after it. */
const RESUMING_MS = 1_000;
/** Fewer held callers are no violation. */
const MINIMUM_HELD_CALLERS = 2;
const MAXIMUM_HELD_FRACTION = 0.5;
/** Time bounds apply to a VM again this long after a disruption. */
const SETTLING_MS = 3_000;

export function findViolations(
  observations: Observations,
): readonly Violation[] {
  return [
    ...findDuplicateRuns(observations),
    ...findFalseRefusals(observations),
    ...findForeignAnswers(observations),
    ...findRunsAfterDeparture(observations),
    ...findRunsForCallersThatLeft(observations),
    ...findCallsCutByPlannedStops(observations),
    ...findRequestsBeyondLimits(observations),
    ...findEndlessAnswersPassedOn(observations),
    ...findCallersHeldByEndlessAnswers(observations),
    ...findEndlessAnswersKept(observations),
  ];
}

function findDuplicateRuns({calls, runs}: Observations): readonly Violation[] {
  const counts = countRuns(runs);
  return calls
    .filter(call => !call.idempotent && (counts.get(call.attemptId) ?? 0) > 1)
    .map(call => ({
      invariant: 'at-most-once execution',
      detail: `${call.attemptId} ran ${counts.get(call.attemptId)} times`,
    }));
}

function findFalseRefusals({calls, runs}: Observations): readonly Violation[] {
  const counts = countRuns(runs);
  return calls
    .filter(
      call => NOT_RUN_STATUSES.has(call.status) && counts.has(call.attemptId),
    )
    .map(call => ({
      invariant: 'refused requests do not run',
      detail: `${call.attemptId} got status ${call.status} from ${call.vm}, but has run`,
    }));
}

function findForeignAnswers({calls}: Observations): readonly Violation[] {
  return calls
    .filter(call => call.status === 200)
    .filter(call => call.whole && !call.seal?.endsWith(`-${call.attemptId}`))
    .map(call => ({
      invariant: 'responses belong to their request',
      detail: `${call.attemptId} got a response with seal ${call.seal}`,
    }));
}

function findRunsAfterDeparture(
  observations: Observations,
): readonly Violation[] {
  const violations: Violation[] = [];
  const vms = new Map(
    observations.calls.map(call => [call.attemptId, call.vm]),
  );
  for (const {target, atMs} of observations.departures) {
    for (const run of observations.runs) {
      const isLate = run.target === target && run.atMs > atMs + DRAIN_BOUND_MS;
      const vm = vms.get(run.attemptId);
      if (isLate && !isDisrupted(observations, vm, atMs, run.atMs)) {
        const lateMs = Math.round(run.atMs - atMs);
        violations.push({
          invariant: 'leaving targets receive no new requests',
          detail: `${run.attemptId} reached ${target} from ${vm} ${lateMs} ms after its departure`,
        });
      }
    }
  }
  return violations;
}

function findRunsForCallersThatLeft(
  observations: Observations,
): readonly Violation[] {
  const callsThatLeft = new Map(
    observations.calls
      .filter(call => call.hasLeft)
      .map(call => [call.attemptId, call]),
  );
  const violations: Violation[] = [];
  for (const run of observations.runs) {
    const call = callsThatLeft.get(run.attemptId);
    if (!call || run.atMs <= call.endedMs + CALLER_LEFT_BOUND_MS) {
      continue;
    }
    if (!isDisrupted(observations, call.vm, call.sentMs, run.atMs)) {
      const lateMs = Math.round(run.atMs - call.endedMs);
      violations.push({
        invariant: 'callers that left cause no work',
        detail: `${call.attemptId} reached ${run.target} from ${call.vm} ${lateMs} ms after its caller had left`,
      });
    }
  }
  return violations;
}

function findEndlessAnswersPassedOn(
  observations: Observations,
): readonly Violation[] {
  const endless = endlessTargets(observations, ['nothing', 'a-part']);
  return observations.calls
    .filter(({status, whole}) => status === 200 && whole)
    .filter(({attemptId, seal}) =>
      (endless.get(attemptId) ?? []).some(
        target => seal === `seal-${target}-${attemptId}`,
      ),
    )
    .map(call => ({
      invariant: 'answers without end never look complete',
      detail: `${call.attemptId} got a complete answer from ${call.vm} with seal ${call.seal}`,
    }));
}

/**
 * A single caller may be held because the machine was busy; before its deadline
 * a VM has about 200 ms left.
 */
function findCallersHeldByEndlessAnswers(
  observations: Observations,
): readonly Violation[] {
  const cutOff = endlessTargets(observations, ['a-part']);
  const calls = observations.calls.filter(
    call =>
      cutOff.has(call.attemptId) && !wasDisruptedDuring(observations, call),
  );
  const held = calls.filter(
    call => call.hasLeft && call.endedMs - call.sentMs >= CALLER_DEADLINE_MS,
  );
  if (
    held.length < MINIMUM_HELD_CALLERS ||
    held.length <= calls.length * MAXIMUM_HELD_FRACTION
  ) {
    return [];
  }
  const names = held.map(({attemptId, vm}) => `${attemptId} at ${vm}`);
  return [
    {
      invariant: 'answers without end do not hold callers to their deadlines',
      detail: `${held.length} of ${calls.length} had no end: ${names.join(', ')}`,
    },
  ];
}

function findEndlessAnswersKept(
  observations: Observations,
): readonly Violation[] {
  const vms = new Map(
    observations.calls.map(call => [call.attemptId, call.vm]),
  );
  return observations.endlessAnswers
    .filter(({startedAtMs, closedAtMs}) => {
      return (closedAtMs ?? Infinity) > startedAtMs + ENDLESS_CLOSED_MS;
    })
    .filter(({attemptId, startedAtMs, closedAtMs}) => {
      const vm = vms.get(attemptId);
      const toMs = closedAtMs ?? startedAtMs + ENDLESS_CLOSED_MS;
      return !isDisrupted(observations, vm, startedAtMs, toMs);
    })
    .filter(({startedAtMs}) => {
      return startedAtMs + ENDLESS_CLOSED_MS <= observations.endedAtMs;
    })
    .map(({attemptId, target}) => ({
      invariant: 'connections with answers without end are closed',
      detail: `${attemptId} kept its connection to ${target} from ${vms.get(attemptId)}`,
    }));
}

/** Targets that sent answers without end of these extents, by attempt. */
function endlessTargets(
  {endlessAnswers}: Observations,
  extents: readonly EndlessExtent[],
): ReadonlyMap<string, readonly string[]> {
  const targets = new Map<string, string[]>();
  for (const {attemptId, target, extent} of endlessAnswers) {
    if (extents.includes(extent)) {
      targets.set(attemptId, [...(targets.get(attemptId) ?? []), target]);
    }
  }
  return targets;
}

function findRequestsBeyondLimits(
  observations: Observations,
): readonly Violation[] {
  const vms = new Map(
    observations.calls.map(call => [call.attemptId, call.vm]),
  );
  const violations: Violation[] = [];
  for (const {target, arrivals, statements} of observations.limitedPeriods) {
    const found = findRateLimitViolations({
      arrivals,
      statements,
      vmOf: (attemptId, atMs) => {
        const vm = vms.get(attemptId);
        return isDisrupted(observations, vm, atMs, atMs) ? undefined : vm;
      },
    });
    for (const {arrived, allowed} of found) {
      violations.push({
        invariant: 'rate limits of targets hold for all VMs together',
        detail: `${target} received ${arrived} requests in 4 s, allowed ${allowed}`,
      });
    }
  }
  return violations;
}

/** Considers only disruptions of the VM that received the call. */
function isDisrupted(
  observations: Observations,
  vm: string | undefined,
  fromMs: number,
  toMs: number,
): boolean {
  return observations.disruptions.some(
    span =>
      span.vm === vm &&
      span.fromMs < toMs &&
      span.toMs + SETTLING_MS > fromMs - SETTLING_MS,
  );
}

/** Narrower than `isDisrupted`: what a VM does on its own timers needs no time to settle. */
function wasDisruptedDuring(
  {disruptions}: Observations,
  {vm, sentMs, endedMs}: CallRecord,
): boolean {
  return disruptions.some(
    span =>
      span.vm === vm &&
      span.fromMs < endedMs &&
      span.toMs + RESUMING_MS > sentMs,
  );
}

function findCallsCutByPlannedStops(
  observations: Observations,
): readonly Violation[] {
  const ran = new Set(observations.runs.map(run => run.attemptId));
  const cutOff = endlessTargets(observations, ['a-part']);
  const violations: Violation[] = [];
  for (const span of observations.disruptions) {
    if (span.kind !== 'planned-stop') {
      continue;
    }
    for (const call of observations.calls) {
      const wasCutOff =
        call.vm === span.vm &&
        !call.hasLeft &&
        // An answer without end is ended by a reset if its head was passed on.
        !cutOff.has(call.attemptId) &&
        call.status === 0 &&
        ran.has(call.attemptId) &&
        call.endedMs > span.fromMs &&
        call.endedMs <= span.toMs;
      if (wasCutOff && !hasOtherDisruption(observations, span, call)) {
        violations.push({
          invariant: 'planned stops abort no requests',
          detail: `${call.attemptId} at ${call.vm} ended without a response during a planned stop`,
        });
      }
    }
  }
  return violations;
}

function hasOtherDisruption(
  observations: Observations,
  stop: Disruption,
  call: CallRecord,
): boolean {
  return observations.disruptions.some(
    span =>
      span.kind === 'other' &&
      span.vm === stop.vm &&
      span.fromMs < call.endedMs &&
      span.toMs + SETTLING_MS > call.sentMs,
  );
}

function countRuns(runs: readonly RunRecord[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {attemptId} of runs) {
    counts.set(attemptId, (counts.get(attemptId) ?? 0) + 1);
  }
  return counts;
}
