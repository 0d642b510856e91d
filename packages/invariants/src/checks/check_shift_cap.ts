import type {RegionName, RequestId, ServiceName} from '@ibisbeam/decision';
import type {Trace, Violation} from '../trace.js';

interface Move {
  readonly atMs: number;
  readonly service: ServiceName;
  readonly from: RegionName;
}

/**
 * Within any interval of a service's shift policy, at most the capped fraction
 * of a home region's cohorts moves to other regions. A cohort has moved when
 * one of its requests runs away from home while its last ran at home.
 */
export function checkShiftCap(trace: Trace): readonly Violation[] {
  const movesByPair = new Map<string, Move[]>();
  for (const move of collectMoves(trace)) {
    const key = `${move.service} from ${move.from}`;
    const moves = movesByPair.get(key) ?? [];
    moves.push(move);
    movesByPair.set(key, moves);
  }
  const violations: Violation[] = [];
  for (const [subject, moves] of movesByPair) {
    const violation = firstBreach(trace, subject, moves);
    if (violation) {
      violations.push(violation);
    }
  }
  return violations;
}

function collectMoves(trace: Trace): readonly Move[] {
  const requests = new Map<
    RequestId,
    {home: RegionName; cohort: number; service: ServiceName}
  >();
  const away = new Set<string>();
  const moves: Move[] = [];
  for (const event of trace.events) {
    if (event.kind === 'request-sent') {
      const {cohort, service} = event;
      requests.set(event.request, {home: event.homeRegion, cohort, service});
      continue;
    }
    if (event.kind !== 'run-started') {
      continue;
    }
    const request = requests.get(event.request);
    const target = trace.facts.targets.get(event.target);
    if (!request || !target) {
      continue;
    }
    const key = `${request.service}/${request.home}/${request.cohort}`;
    if (target.region === request.home) {
      away.delete(key);
      continue;
    }
    if (!away.has(key)) {
      away.add(key);
      moves.push({
        atMs: event.atMs,
        service: request.service,
        from: request.home,
      });
    }
  }
  return moves;
}

function firstBreach(
  trace: Trace,
  subject: string,
  moves: readonly Move[],
): Violation | undefined {
  const cap = trace.facts.shiftCaps.get(moves[0]!.service);
  if (!cap) {
    return undefined;
  }
  const limit = Math.ceil(cap.capFraction * trace.facts.cohorts);
  let oldest = 0;
  for (const [index, move] of moves.entries()) {
    while (moves[oldest]!.atMs <= move.atMs - cap.intervalMs) {
      oldest += 1;
    }
    const moved = index - oldest + 1;
    if (moved > limit) {
      return {
        check: 'shift-cap',
        atMs: move.atMs,
        subject,
        detail: `${moved} cohorts moved within ${cap.intervalMs} ms; the cap is ${limit}`,
      };
    }
  }
  return undefined;
}
