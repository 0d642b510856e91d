/**
 * The invariants checked on what callers and targets observed: at-most-once
 * execution, truthful refusals, complete responses to the caller's own request,
 * no work for callers that left, drained targets, rate limits, leaving and
 * pausing targets, planned stops, and requests that crash targets. Pure
 * functions.
 */
import {findInnocentsRefused, findRepeatedCrashes} from './crash_invariants.js';
import {
  type Disruption,
  SETTLING_MS,
  isDisrupted,
  isRestartedOrFrozen,
} from './disruptions.js';
import type {
  CallRecord,
  HomesChange,
  Observations,
  RunRecord,
  Violation,
} from './records.js';
import {findMemoryExcess, findUnexpectedExits} from './process_invariants.js';
import {
  type PassedOnLeaving,
  findLeavingViolations,
  findPauseViolations,
  findRateLimitViolations,
} from '@ibisbeam/stand-ins';

/** Statuses which state that the request has not run and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Maximum time from a departure to the last request at the target. */
const DRAIN_BOUND_MS = 2_500;
/** Maximum time until a configuration is in force everywhere. */
const APPLY_BOUND_MS = 2_500;
/** Maximum time from a caller's leaving to the last request at a target. */
const CALLER_LEFT_BOUND_MS = 500;
/** A connection may end so long after a request that crosses its end. */
const LOSS_SLACK_MS = 200;
/** After the grace period of a planned stop. */
const STOP_MARGIN_MS = 1_000;

export function findViolations(
  observations: Observations,
): readonly Violation[] {
  return [
    ...findDuplicateRuns(observations),
    ...findFalseRefusals(observations),
    ...findForeignAnswers(observations),
    ...findRunsAfterDeparture(observations),
    ...findRunsOutsideHomes(observations),
    ...findRunsForCallersThatLeft(observations),
    ...findCallsCutByPlannedStops(observations),
    ...findRequestsUnanswered(observations),
    ...findAnswersCutShort(observations),
    ...findRequestsBeyondLimits(observations),
    ...findRequestsToLeavingTargets(observations),
    ...findRequestsInPauses(observations),
    ...findRepeatedCrashes(observations),
    ...findInnocentsRefused(observations),
    ...findUnexpectedExits(observations),
    ...findMemoryExcess(observations),
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

function findRunsOutsideHomes(
  observations: Observations,
): readonly Violation[] {
  const {calls, homesChanges, targetRegions} = observations;
  const callsById = new Map(calls.map(call => [call.attemptId, call]));
  const violations: Violation[] = [];
  for (const run of observations.runs) {
    const call = callsById.get(run.attemptId);
    const region = targetRegions.get(run.target) ?? '';
    if (!call?.idempotent || isHomeInForce(homesChanges, region, run.atMs)) {
      continue;
    }
    const sinceMs = run.atMs - APPLY_BOUND_MS;
    if (!isDisrupted(observations.disruptions, call.vm, sinceMs, run.atMs)) {
      violations.push({
        invariant: 'requests run in their home regions',
        detail: `${run.attemptId} ran at ${run.target} in ${region}, sent by ${call.vm}`,
      });
    }
  }
  return violations;
}

/** Whether a configuration that may be in force allows the region. */
function isHomeInForce(
  changes: readonly HomesChange[],
  region: string,
  atMs: number,
): boolean {
  if (changes.length === 0) {
    return true;
  }
  for (const [index, {atMs: fromMs, regions}] of changes.entries()) {
    const next = changes[index + 1];
    const untilMs = next?.rewrittenAtMs ?? next?.atMs ?? Infinity;
    const mayBeInForce = fromMs <= atMs && atMs <= untilMs + APPLY_BOUND_MS;
    if (mayBeInForce && (regions.length === 0 || regions.includes(region))) {
      return true;
    }
  }
  return false;
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
      if (
        isLate &&
        !isDisrupted(observations.disruptions, vm, atMs, run.atMs)
      ) {
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
    if (
      !isDisrupted(observations.disruptions, call.vm, call.sentMs, run.atMs)
    ) {
      const lateMs = Math.round(run.atMs - call.endedMs);
      violations.push({
        invariant: 'callers that left cause no work',
        detail: `${call.attemptId} reached ${run.target} from ${call.vm} ${lateMs} ms after its caller had left`,
      });
    }
  }
  return violations;
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
        return isDisrupted(observations.disruptions, vm, atMs, atMs)
          ? undefined
          : vm;
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

/** Counts from the end of the call that got the target's answer. */
function findRequestsToLeavingTargets(
  observations: Observations,
): readonly Violation[] {
  const calls = new Map(observations.calls.map(call => [call.attemptId, call]));
  const violations: Violation[] = [];
  for (const record of observations.targetRecords) {
    const {target, arrivals, leavingStatements} = record;
    const passedOn: PassedOnLeaving[] = [];
    for (const {attemptId} of leavingStatements) {
      const call = calls.get(attemptId);
      if (call?.seal === `seal-${target}-${attemptId}`) {
        passedOn.push({vm: call.vm, atMs: call.endedMs});
      }
    }
    const found = findLeavingViolations({
      drainMs: DRAIN_BOUND_MS,
      arrivals,
      passedOn,
      requestOf: attemptId => calls.get(attemptId),
      isExcused: (vm, fromMs, toMs) =>
        isRestartedOrFrozen(observations.disruptions, vm, fromMs, toMs),
    });
    for (const {vm, attemptId, afterMs} of found) {
      violations.push({
        invariant: 'targets that say that they leave receive no new requests',
        detail: `${attemptId}, sent ${Math.round(afterMs)} ms after ${vm} had passed on that ${target} leaves, reached it`,
      });
    }
  }
  return violations;
}

function findRequestsInPauses(
  observations: Observations,
): readonly Violation[] {
  const vms = new Map(
    observations.calls.map(call => [call.attemptId, call.vm]),
  );
  const violations: Violation[] = [];
  for (const record of observations.targetRecords) {
    const found = findPauseViolations({
      arrivals: record.arrivals,
      statements: record.pauseStatements,
      vmOf: attemptId => vms.get(attemptId),
      isExcused: (vm, fromMs, toMs) =>
        isRestartedOrFrozen(observations.disruptions, vm, fromMs, toMs),
    });
    for (const {vm, pauseMs, arrived} of found) {
      violations.push({
        invariant: 'targets that want a pause receive no requests',
        detail: `${arrived} requests reached ${record.target} from ${vm} in a pause of ${Math.round(pauseMs)} ms`,
      });
    }
  }
  return violations;
}

function findCallsCutByPlannedStops(
  observations: Observations,
): readonly Violation[] {
  const runsById = indexRuns(observations.runs);
  const callsById = new Map(
    observations.calls.map(call => [call.attemptId, call]),
  );

  /** Whether its connection was reset with an answer that its target broke off. */
  function isBehindBroken({behind = ''}: CallRecord): boolean {
    const first = callsById.get(behind);
    return first !== undefined && wasBrokenOff(observations, runsById, first);
  }

  const violations: Violation[] = [];
  for (const span of observations.disruptions) {
    if (span.kind !== 'planned-stop') {
      continue;
    }
    for (const call of observations.calls) {
      const wasCutOff =
        call.vm === span.vm &&
        !call.hasLeft &&
        call.status === 0 &&
        runsById.has(call.attemptId) &&
        !wasBrokenOff(observations, runsById, call) &&
        call.endedMs > span.fromMs &&
        call.endedMs <= span.toMs;
      if (wasCutOff && !hasOtherDisruption(observations, span, call)) {
        violations.push({
          invariant: isBehindBroken(call)
            ? 'answers behind one that breaks off are delivered'
            : 'planned stops abort no requests',
          detail: `${call.attemptId} at ${call.vm} ended without a response during a planned stop`,
        });
      }
    }
  }
  return violations;
}

/** What no target got is answered, too, unless it crosses the close. */
function findRequestsUnanswered(
  observations: Observations,
): readonly Violation[] {
  const runsById = indexRuns(observations.runs);
  const violations: Violation[] = [];
  for (const span of observations.disruptions) {
    if (span.kind !== 'planned-stop') {
      continue;
    }
    for (const call of observations.calls) {
      const {vm, writtenMs, endedMs} = call;
      const isUnanswered =
        vm === span.vm &&
        !call.hasLeft &&
        call.status === 0 &&
        !runsById.has(call.attemptId) &&
        writtenMs !== undefined &&
        endedMs > writtenMs + LOSS_SLACK_MS &&
        endedMs > span.fromMs &&
        endedMs <= span.toMs + STOP_MARGIN_MS;
      if (isUnanswered && !hasOtherDisruption(observations, span, call)) {
        const lateMs = Math.round(endedMs - writtenMs);
        violations.push({
          invariant: 'planned stops leave no request unanswered',
          detail: `${call.attemptId} at ${vm} ended without a response ${lateMs} ms after it had been written`,
        });
      }
    }
  }
  return violations;
}

function indexRuns(
  runs: readonly RunRecord[],
): ReadonlyMap<string, readonly RunRecord[]> {
  const runsById = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const known = runsById.get(run.attemptId) ?? [];
    runsById.set(run.attemptId, [...known, run]);
  }
  return runsById;
}

/**
 * Whether the answer, which has begun, has no end, or its target died while it
 * sent it: no VM can complete that.
 */
function wasBrokenOff(
  {targetDeaths}: Observations,
  runsById: ReadonlyMap<string, readonly RunRecord[]>,
  {attemptId, hasBegun, sentMs, endedMs}: CallRecord,
): boolean {
  if (!hasBegun) {
    return false;
  }
  const runs = runsById.get(attemptId) ?? [];
  const isEndless = runs.length > 0 && runs.every(run => run.isEndless);
  const targetDied = runs.some(({target}) => {
    const diedMs = targetDeaths.get(target) ?? Infinity;
    return diedMs >= sentMs && diedMs <= endedMs;
  });
  return isEndless || targetDied;
}

/** An answer that has begun comes whole, also to a caller that reads slowly. */
function findAnswersCutShort(observations: Observations): readonly Violation[] {
  const {calls, targetDeaths} = observations;
  const runsById = indexRuns(observations.runs);
  const violations: Violation[] = [];
  for (const call of calls) {
    if (call.status !== 200 || call.whole || call.hasLeft) {
      continue;
    }
    const mayBeSpoiled = runsById
      .get(call.attemptId)
      ?.some(
        ({isSpoiled, target}) =>
          isSpoiled ||
          (targetDeaths.get(target) ?? Infinity) <= call.endedMs + SETTLING_MS,
      );
    if (!mayBeSpoiled && !isVmFaulty(observations, call)) {
      violations.push({
        invariant: 'answers that have begun come whole',
        detail: `${call.attemptId} at ${call.vm} got a part of its answer`,
      });
    }
  }
  return violations;
}

/** Whether the VM was killed or frozen during the call, or shortly before. */
function isVmFaulty(
  {disruptions}: Observations,
  {vm, sentMs, endedMs}: CallRecord,
): boolean {
  return disruptions.some(
    span =>
      span.kind === 'other' &&
      span.vm === vm &&
      span.fromMs < endedMs &&
      span.toMs + SETTLING_MS > sentMs,
  );
}

function hasOtherDisruption(
  observations: Observations,
  stop: Disruption,
  call: CallRecord,
): boolean {
  return observations.disruptions.some(
    span =>
      span.kind !== 'planned-stop' &&
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
