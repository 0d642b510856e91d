/**
 * What callers and targets saw, and the promises checked over it: at most
 * once, truthful refusals, own and whole answers, leaving targets, planned
 * stops. Pure: works on records only.
 */

export interface CallRecord {
  readonly attemptId: string;
  readonly idempotent: boolean;
  readonly vm: string;
  /** The caller left at its deadline, without an answer. */
  readonly timedOut: boolean;
  readonly sentMs: number;
  readonly endedMs: number;
  /** 0 where the connection ended without an answer. */
  readonly status: number;
  readonly whole: boolean;
  readonly seal: string | undefined;
}

export interface RunRecord {
  readonly attemptId: string;
  readonly target: string;
  readonly atMs: number;
}

/** A span in which a promise with a time bound excuses the VMs. */
export interface Disruption {
  readonly vm: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly kind: 'planned-stop' | 'other';
}

export interface Departure {
  readonly target: string;
  /** When the store acknowledged that the target leaves. */
  readonly atMs: number;
}

export interface Observations {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly disruptions: readonly Disruption[];
  readonly departures: readonly Departure[];
}

export interface Violation {
  readonly invariant: string;
  readonly detail: string;
}

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** From the acknowledgement of a departure to the target's last request. */
const DRAIN_BOUND_MS = 2_500;
/** A VM is held to bounds with a time only this long after a disruption. */
const SETTLING_MS = 3_000;

export function findViolations(seen: Observations): readonly Violation[] {
  return [
    ...findDuplicateRuns(seen),
    ...findFalseRefusals(seen),
    ...findForeignAnswers(seen),
    ...findRunsAfterDeparture(seen),
    ...findCallsCutByPlannedStops(seen),
  ];
}

function findDuplicateRuns({calls, runs}: Observations): readonly Violation[] {
  const counts = countRuns(runs);
  return calls
    .filter(call => !call.idempotent && (counts.get(call.attemptId) ?? 0) > 1)
    .map(call => ({
      invariant: 'at most once',
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
      invariant: 'a refusal has not run',
      detail: `${call.attemptId} got ${call.status} at ${call.vm} and has run`,
    }));
}

function findForeignAnswers({calls}: Observations): readonly Violation[] {
  return calls
    .filter(call => call.status === 200)
    .filter(call => call.whole && !call.seal?.endsWith(`-${call.attemptId}`))
    .map(call => ({
      invariant: 'own answer',
      detail: `${call.attemptId} got an answer sealed ${call.seal}`,
    }));
}

function findRunsAfterDeparture(seen: Observations): readonly Violation[] {
  const violations: Violation[] = [];
  const vms = new Map(seen.calls.map(call => [call.attemptId, call.vm]));
  for (const {target, atMs} of seen.departures) {
    for (const run of seen.runs) {
      const isLate = run.target === target && run.atMs > atMs + DRAIN_BOUND_MS;
      const vm = vms.get(run.attemptId);
      if (isLate && !isDisrupted(seen, vm, atMs, run.atMs)) {
        const lateMs = Math.round(run.atMs - atMs);
        violations.push({
          invariant: 'leaving targets get nothing new',
          detail: `${run.attemptId} reached ${target} from ${vm} ${lateMs} ms after`,
        });
      }
    }
  }
  return violations;
}

/** Only disruptions of the VM that took the call excuse it. */
function isDisrupted(
  seen: Observations,
  vm: string | undefined,
  fromMs: number,
  toMs: number,
): boolean {
  return seen.disruptions.some(
    span =>
      span.vm === vm &&
      span.fromMs < toMs &&
      span.toMs + SETTLING_MS > fromMs - SETTLING_MS,
  );
}

function findCallsCutByPlannedStops(seen: Observations): readonly Violation[] {
  const ran = new Set(seen.runs.map(run => run.attemptId));
  const violations: Violation[] = [];
  for (const span of seen.disruptions) {
    if (span.kind !== 'planned-stop') {
      continue;
    }
    for (const call of seen.calls) {
      const wasCutOff =
        call.vm === span.vm &&
        !call.timedOut &&
        call.status === 0 &&
        ran.has(call.attemptId) &&
        call.endedMs > span.fromMs &&
        call.endedMs <= span.toMs;
      if (wasCutOff && !hasOtherDisruption(seen, span, call)) {
        violations.push({
          invariant: 'a planned stop cuts nothing off',
          detail: `${call.attemptId} at ${call.vm} ended without an answer`,
        });
      }
    }
  }
  return violations;
}

function hasOtherDisruption(
  seen: Observations,
  stop: Disruption,
  call: CallRecord,
): boolean {
  return seen.disruptions.some(
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
