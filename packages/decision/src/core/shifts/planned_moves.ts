/**
 * Planned moves of cohorts between regions. Their progress is a pure function
 * of the configuration and the Unix time, so all VMs agree on it without
 * communication, including VMs that have just started. Moves of the same
 * workspace and service run one after another to stay within the cap together.
 */
import {hash32, rankByRendezvous} from '../hashing/index.js';
import {COHORT_COUNT} from '../lookup/types.js';
import type {
  Configuration,
  RegionName,
  ServiceName,
  ShiftPolicy,
  WorkspaceName,
} from '../model/index.js';

/** Coprime with COHORT_COUNT; permutes the cohorts and separates neighbours. */
const COHORT_STRIDE = 617;

/** A scheduled move of a fraction of a region's cohorts. */
export interface PlannedMove {
  readonly id: string;
  readonly from: RegionName;
  /** Absent for a drain, whose cohorts spread over the other regions. */
  readonly to?: RegionName;
  /** Fraction of the cohorts that has moved at a Unix time, 0 to 1. */
  readonly progress: (wallMs: number) => number;
  /** Unix time; Infinity if the move never starts. */
  readonly startsAtMs: number;
  /** Unix time at which it is complete or undone; Infinity if it never starts. */
  readonly endsAtMs: number;
}

interface Transition {
  readonly moveId: string;
  readonly atMs: number;
  readonly rampsUp: boolean;
}

interface Segment {
  readonly startMs: number;
  readonly endMs: number;
  readonly before: number;
  readonly after: number;
}

interface RequestedMove {
  readonly id: string;
  readonly from: RegionName;
  readonly to?: RegionName;
  readonly fraction: number;
  readonly startAtMs: number;
  readonly stopAtMs: number;
  readonly minimumRampMs: number;
}

/**
 * Schedules the shifts and region drains that apply to a workspace's service.
 *
 * @param capUtilization Fraction of the policy's cap that the moves may use.
 * @returns The shifts, then the drains, each in configuration order.
 */
export function schedulePlannedMoves(
  configuration: Configuration,
  workspace: WorkspaceName,
  service: ServiceName,
  policy: ShiftPolicy,
  capUtilization: number,
): readonly PlannedMove[] {
  const requested = requestedMoves(configuration, workspace, service);
  const segments = scheduleMoves(requested, policy, capUtilization);
  return requested.map(move => {
    const moveSegments = segments.get(move.id) ?? [];
    return {
      id: move.id,
      from: move.from,
      to: move.to,
      progress: wallMs => progressOf(moveSegments, wallMs),
      startsAtMs: moveSegments[0]?.startMs ?? Infinity,
      endsAtMs: moveSegments.at(-1)?.endMs ?? Infinity,
    };
  });
}

function requestedMoves(
  configuration: Configuration,
  workspace: WorkspaceName,
  service: ServiceName,
): readonly RequestedMove[] {
  const requested: RequestedMove[] = [];
  for (const shift of configuration.shifts) {
    const applies =
      shift.workspace === workspace &&
      (shift.service === undefined || shift.service === service);
    if (applies && shift.from !== shift.to) {
      requested.push({
        id: shift.id,
        from: shift.from,
        to: shift.to,
        fraction: shift.fraction,
        startAtMs: shift.startAtMs,
        stopAtMs: shift.abortedAtMs ?? Infinity,
        minimumRampMs: 0,
      });
    }
  }
  for (const drain of configuration.drains) {
    if (drain.scope.kind === 'region') {
      requested.push({
        id: `drain/${drain.id}`,
        from: drain.scope.region,
        fraction: 1,
        startAtMs: drain.startAtMs,
        stopAtMs: Math.min(
          drain.endAtMs ?? Infinity,
          drain.abortedAtMs ?? Infinity,
        ),
        minimumRampMs: drain.rampMs,
      });
    }
  }
  return requested;
}

function scheduleMoves(
  requested: readonly RequestedMove[],
  policy: ShiftPolicy,
  capUtilization: number,
): ReadonlyMap<string, readonly Segment[]> {
  const byId = new Map(requested.map(move => [move.id, move]));
  const segments = new Map<string, Segment[]>();
  const ratePerMs = (policy.capFraction * capUtilization) / policy.intervalMs;
  let freeAtMs = 0;
  for (const transition of transitionsOf(requested)) {
    const move = byId.get(transition.moveId)!;
    const moveSegments = segments.get(transition.moveId) ?? [];
    const before = moveSegments.at(-1)?.after ?? 0;
    const startMs = Math.max(transition.atMs, freeAtMs);
    const finalFraction = transition.rampsUp ? move.fraction : 0;
    const rate =
      move.minimumRampMs > 0
        ? Math.min(ratePerMs, 1 / move.minimumRampMs)
        : ratePerMs;
    const fullEndMs = startMs + Math.abs(finalFraction - before) / rate;
    const endMs = transition.rampsUp
      ? Math.max(startMs, Math.min(fullEndMs, move.stopAtMs))
      : fullEndMs;
    const moved = (endMs - startMs) * rate;
    const after = transition.rampsUp
      ? Math.min(finalFraction, before + moved)
      : finalFraction;
    moveSegments.push({startMs, endMs, before, after});
    segments.set(transition.moveId, moveSegments);
    freeAtMs = endMs;
  }
  return segments;
}

function transitionsOf(
  requested: readonly RequestedMove[],
): readonly Transition[] {
  const transitions: Transition[] = [];
  for (const move of requested) {
    if (move.stopAtMs <= move.startAtMs) {
      continue;
    }
    transitions.push({moveId: move.id, atMs: move.startAtMs, rampsUp: true});
    if (Number.isFinite(move.stopAtMs)) {
      transitions.push({moveId: move.id, atMs: move.stopAtMs, rampsUp: false});
    }
  }
  return transitions.sort(
    (one, other) =>
      one.atMs - other.atMs || (one.moveId < other.moveId ? -1 : 1),
  );
}

function progressOf(segments: readonly Segment[], wallMs: number): number {
  let value = 0;
  for (const segment of segments) {
    if (wallMs < segment.startMs) {
      return value;
    }
    if (wallMs < segment.endMs) {
      const part =
        (wallMs - segment.startMs) / (segment.endMs - segment.startMs);
      return segment.before + (segment.after - segment.before) * part;
    }
    value = segment.after;
  }
  return value;
}

/** Region that serves a cohort once all moves due at `wallMs` are applied. */
export function findRegionAfterMoves(
  configuration: Configuration,
  moves: readonly PlannedMove[],
  home: RegionName,
  cohort: number,
  wallMs: number,
): RegionName {
  const visited = new Set<RegionName>();
  let region = home;
  for (;;) {
    const move = findMove(moves, region, cohort, wallMs);
    if (!move) {
      return region;
    }
    visited.add(region);
    const next =
      move.to ?? chooseOtherRegion(configuration, region, visited, cohort);
    if (next === undefined || visited.has(next)) {
      return region;
    }
    region = next;
  }
}

function findMove(
  moves: readonly PlannedMove[],
  region: RegionName,
  cohort: number,
  wallMs: number,
): PlannedMove | undefined {
  for (const move of moves) {
    const hasMoved =
      move.from === region &&
      computeCohortPosition(cohort, move.id) < move.progress(wallMs);
    if (hasMoved) {
      return move;
    }
  }
  return undefined;
}

/**
 * Position of a cohort in a move's order, from 0 to below 1. The cohort has
 * moved once the progress of the move exceeds its position.
 */
export function computeCohortPosition(cohort: number, moveId: string): number {
  const offset = hash32(moveId) % COHORT_COUNT;
  const position = (cohort * COHORT_STRIDE + offset) % COHORT_COUNT;
  return position / COHORT_COUNT;
}

function chooseOtherRegion(
  configuration: Configuration,
  from: RegionName,
  visited: ReadonlySet<RegionName>,
  cohort: number,
): RegionName | undefined {
  const others: RegionName[] = [];
  for (const region of configuration.regions.keys()) {
    if (!visited.has(region)) {
      others.push(region);
    }
  }
  return rankByRendezvous(`${from}|${cohort}`, others)[0];
}
