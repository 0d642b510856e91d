import type {RegionName, RequestId, ServiceName} from '@ibisbeam/decision';
import type {ShiftCap, Trace, Violation} from '../trace.js';
import {type CohortRequest, cohortKey, cohortRequests} from './cohorts.js';

/**
 * Move of a cohort out of its home region. The exact time is not observable:
 * the cohort moved after `notBeforeMs` and no later than `seenMs`.
 */
interface Move {
  /** Last run at home or refusal under the cap; -Infinity without either. */
  readonly notBeforeMs: number;
  /** First run outside the home region. */
  readonly seenMs: number;
}

/**
 * Shifts stay within their caps. Two bounds hold per service and home region:
 * the moves that provably happened within any one interval do not exceed the
 * capped fraction of the cohorts, and the moves since the first one do not
 * exceed the cap times the number of intervals begun since then.
 */
export function checkShiftCap(trace: Trace): readonly Violation[] {
  const violations: Violation[] = [];
  for (const [subject, {service, moves}] of collectMoves(trace)) {
    const cap = trace.setup.shiftCaps.get(service);
    if (!cap) {
      continue;
    }
    const limit = Math.ceil(cap.capFraction * trace.setup.cohorts);
    const breach =
      firstWindowBreach(subject, moves, cap, limit) ??
      firstTotalBreach(subject, moves, cap, limit);
    if (breach) {
      violations.push(breach);
    }
  }
  return violations;
}

interface ServiceMoves {
  readonly service: ServiceName;
  readonly moves: Move[];
}

function collectMoves(trace: Trace): ReadonlyMap<string, ServiceMoves> {
  const requests = cohortRequests(trace);
  const movedCohorts = new Set<string>();
  const refusedOrHomeAtMs = new Map<string, number>();
  const pairs = new Map<string, ServiceMoves>();

  function recordRun(request: CohortRequest, region: RegionName, atMs: number) {
    const key = cohortKey(request);
    if (region === request.home) {
      movedCohorts.delete(key);
      refusedOrHomeAtMs.set(key, atMs);
      return;
    }
    if (movedCohorts.has(key)) {
      return;
    }
    movedCohorts.add(key);
    const {service, home} = request;
    const pair = `${service} from ${home}`;
    const serviceMoves = pairs.get(pair) ?? {service, moves: []};
    pairs.set(pair, serviceMoves);
    const notBeforeMs = refusedOrHomeAtMs.get(key) ?? -Infinity;
    serviceMoves.moves.push({notBeforeMs, seenMs: atMs});
  }

  for (const event of trace.events) {
    if (event.kind === 'run-started') {
      const request = requests.get(event.request);
      const target = trace.setup.targets.get(event.target);
      if (request && target) {
        recordRun(request, target.region, event.atMs);
      }
      continue;
    }
    const refused = refusedUnderCap(event);
    const request = refused && requests.get(refused);
    if (request) {
      refusedOrHomeAtMs.set(cohortKey(request), event.atMs);
    }
  }
  return pairs;
}

function refusedUnderCap(
  event: Trace['events'][number],
): RequestId | undefined {
  if (event.kind !== 'request-ended' || event.end.kind !== 'refused') {
    return undefined;
  }
  return event.end.reason === 'shift-cap-reached' ? event.request : undefined;
}

function firstWindowBreach(
  subject: string,
  moves: readonly Move[],
  cap: ShiftCap,
  limit: number,
): Violation | undefined {
  let oldest = 0;
  for (const [index, last] of moves.entries()) {
    const fromMs = last.seenMs - cap.intervalMs;
    while (moves[oldest]!.seenMs <= fromMs) {
      oldest += 1;
    }
    if (index - oldest + 1 <= limit) {
      continue;
    }
    let moved = 0;
    for (const move of moves.slice(oldest, index + 1)) {
      moved += move.notBeforeMs > fromMs ? 1 : 0;
    }
    if (moved > limit) {
      return buildViolation(subject, last.seenMs, moved, limit, cap.intervalMs);
    }
  }
  return undefined;
}

function firstTotalBreach(
  subject: string,
  moves: readonly Move[],
  cap: ShiftCap,
  limit: number,
): Violation | undefined {
  const firstMs = moves[0]!.seenMs;
  for (const [index, move] of moves.entries()) {
    const sinceMs = move.seenMs - firstMs;
    const allowed = limit * (1 + sinceMs / cap.intervalMs);
    if (index + 1 > Math.ceil(allowed)) {
      return buildViolation(
        subject,
        move.seenMs,
        index + 1,
        Math.ceil(allowed),
        sinceMs,
      );
    }
  }
  return undefined;
}

function buildViolation(
  subject: string,
  atMs: number,
  moved: number,
  limit: number,
  withinMs: number,
): Violation {
  return {
    check: 'shift-cap',
    atMs,
    subject,
    detail: `${moved} cohorts moved within ${withinMs.toFixed(0)} ms; the cap is ${limit}`,
  };
}
