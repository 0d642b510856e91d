/**
 * Planned moves of cohorts between regions. What has moved is a function of
 * the configuration and the Unix time alone, so every VM, also one that has
 * just started, knows it. Moves of one workspace and service follow one
 * another, so that their sum stays under the cap.
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

/** Coprime with COHORT_COUNT: spreads neighbouring cohorts. */
const COHORT_STRIDE = 617;

/** One move of part of a region's cohorts. */
export interface PlannedMove {
  readonly id: string;
  readonly from: RegionName;
  /** Absent for a drain: any other region. */
  readonly to?: RegionName;
  /** Fraction that has moved at a time. */
  readonly progress: (wallMs: number) => number;
  readonly startsAtMs: number;
  readonly endsAtMs: number;
}

interface Step {
  readonly move: string;
  readonly atMs: number;
  readonly rises: boolean;
}

interface Segment {
  readonly startMs: number;
  readonly endMs: number;
  readonly before: number;
  readonly after: number;
}

interface Wanted {
  readonly id: string;
  readonly from: RegionName;
  readonly to?: RegionName;
  readonly fraction: number;
  readonly startAtMs: number;
  readonly stopAtMs: number;
  readonly slowestMs: number;
}

/** Moves that concern a workspace's service, in the order of their starts. */
export function plannedMoves(
  configuration: Configuration,
  workspace: WorkspaceName,
  service: ServiceName,
  policy: ShiftPolicy,
  capUse: number,
): readonly PlannedMove[] {
  const wanted = wantedMoves(configuration, workspace, service);
  const segments = schedule(wanted, policy, capUse);
  return wanted.map(move => {
    const own = segments.get(move.id) ?? [];
    return {
      id: move.id,
      from: move.from,
      to: move.to,
      progress: wallMs => progressOf(own, wallMs),
      startsAtMs: own[0]?.startMs ?? Infinity,
      endsAtMs: own.at(-1)?.endMs ?? Infinity,
    };
  });
}

function wantedMoves(
  configuration: Configuration,
  workspace: WorkspaceName,
  service: ServiceName,
): readonly Wanted[] {
  const wanted: Wanted[] = [];
  for (const shift of configuration.shifts) {
    const concerns =
      shift.workspace === workspace &&
      (shift.service === undefined || shift.service === service);
    if (concerns && shift.from !== shift.to) {
      wanted.push({
        id: shift.id,
        from: shift.from,
        to: shift.to,
        fraction: shift.fraction,
        startAtMs: shift.startAtMs,
        stopAtMs: shift.abortedAtMs ?? Infinity,
        slowestMs: 0,
      });
    }
  }
  for (const drain of configuration.drains) {
    if (drain.scope.kind === 'region') {
      wanted.push({
        id: `drain/${drain.id}`,
        from: drain.scope.region,
        fraction: 1,
        startAtMs: drain.startAtMs,
        stopAtMs: Math.min(
          drain.endAtMs ?? Infinity,
          drain.abortedAtMs ?? Infinity,
        ),
        slowestMs: drain.rampMs,
      });
    }
  }
  return wanted;
}

function schedule(
  wanted: readonly Wanted[],
  policy: ShiftPolicy,
  capUse: number,
): ReadonlyMap<string, readonly Segment[]> {
  const byId = new Map(wanted.map(move => [move.id, move]));
  const segments = new Map<string, Segment[]>();
  const ratePerMs = (policy.capFraction * capUse) / policy.intervalMs;
  let freeAtMs = 0;
  for (const step of stepsOf(wanted)) {
    const move = byId.get(step.move)!;
    const done = segments.get(step.move) ?? [];
    const before = done.at(-1)?.after ?? 0;
    const startMs = Math.max(step.atMs, freeAtMs);
    const goal = step.rises ? move.fraction : 0;
    const rate =
      move.slowestMs > 0 ? Math.min(ratePerMs, 1 / move.slowestMs) : ratePerMs;
    const fullEndMs = startMs + Math.abs(goal - before) / rate;
    const endMs = step.rises
      ? Math.max(startMs, Math.min(fullEndMs, move.stopAtMs))
      : fullEndMs;
    const moved = (endMs - startMs) * rate;
    const after = step.rises ? Math.min(goal, before + moved) : goal;
    done.push({startMs, endMs, before, after});
    segments.set(step.move, done);
    freeAtMs = endMs;
  }
  return segments;
}

function stepsOf(wanted: readonly Wanted[]): readonly Step[] {
  const steps: Step[] = [];
  for (const move of wanted) {
    if (move.stopAtMs <= move.startAtMs) {
      continue;
    }
    steps.push({move: move.id, atMs: move.startAtMs, rises: true});
    if (Number.isFinite(move.stopAtMs)) {
      steps.push({move: move.id, atMs: move.stopAtMs, rises: false});
    }
  }
  return steps.sort(
    (one, other) => one.atMs - other.atMs || (one.move < other.move ? -1 : 1),
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

/** Region that serves a cohort once the moves have had their effect. */
export function regionAfterMoves(
  configuration: Configuration,
  moves: readonly PlannedMove[],
  home: RegionName,
  cohort: number,
  wallMs: number,
): RegionName {
  const left = new Set<RegionName>();
  let region = home;
  for (;;) {
    const move = moveOut(moves, region, cohort, wallMs);
    if (!move) {
      return region;
    }
    left.add(region);
    const next = move.to ?? otherRegion(configuration, region, left, cohort);
    if (next === undefined || left.has(next)) {
      return region;
    }
    region = next;
  }
}

function moveOut(
  moves: readonly PlannedMove[],
  region: RegionName,
  cohort: number,
  wallMs: number,
): PlannedMove | undefined {
  for (const move of moves) {
    const takes =
      move.from === region &&
      cohortPosition(cohort, move.id) < move.progress(wallMs);
    if (takes) {
      return move;
    }
  }
  return undefined;
}

/** Place of a cohort in the order in which a move takes cohorts, 0 to 1. */
export function cohortPosition(cohort: number, move: string): number {
  const offset = hash32(move) % COHORT_COUNT;
  const place = (cohort * COHORT_STRIDE + offset) % COHORT_COUNT;
  return place / COHORT_COUNT;
}

function otherRegion(
  configuration: Configuration,
  from: RegionName,
  left: ReadonlySet<RegionName>,
  cohort: number,
): RegionName | undefined {
  const others: RegionName[] = [];
  for (const region of configuration.regions.keys()) {
    if (!left.has(region)) {
      others.push(region);
    }
  }
  return rankByRendezvous(`${from}|${cohort}`, others)[0];
}
