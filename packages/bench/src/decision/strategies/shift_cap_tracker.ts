/**
 * Tracks which cohorts have moved out of their home region, and whether the
 * shift cap of their service allows more to move.
 */
import type {
  Configuration,
  RegionName,
  RequestMetadata,
  ServiceName,
} from '@ibisbeam/decision';

/**
 * Lengthens the window of the cap, because a request starts running later than
 * the decision that moved it.
 */
const WINDOW_MARGIN_FACTOR = 1.1;

export interface ShiftCapTracker {
  /** Whether the shift cap of the service allows the request in the region. */
  allows(metadata: RequestMetadata, region: RegionName, nowMs: number): boolean;
  /** Whether the cohort of the request may run outside its home region. */
  canMove(metadata: RequestMetadata, nowMs: number): boolean;
  /** Records that the request was sent to the region. */
  note(metadata: RequestMetadata, region: RegionName, nowMs: number): void;
}

export function createShiftCapTracker(
  configuration: Configuration,
  cohorts: number,
): ShiftCapTracker {
  const movedCohorts = new Set<string>();
  const recentMoves = new Map<string, number[]>();
  const policies = new Map<ServiceName, {limit: number; intervalMs: number}>();
  for (const services of configuration.workspaces.values()) {
    for (const [service, {policy}] of services) {
      policies.set(service, {
        limit: Math.ceil(policy.shift.capFraction * cohorts),
        intervalMs: policy.shift.intervalMs,
      });
    }
  }

  function movesInWindow(metadata: RequestMetadata, nowMs: number): number[] {
    const key = `${metadata.service}/${metadata.homeRegion}`;
    const moves = recentMoves.get(key) ?? [];
    recentMoves.set(key, moves);
    const {intervalMs} = policies.get(metadata.service)!;
    while (
      moves.length > 0 &&
      moves[0]! <= nowMs - intervalMs * WINDOW_MARGIN_FACTOR
    ) {
      moves.shift();
    }
    return moves;
  }

  function canMove(metadata: RequestMetadata, nowMs: number): boolean {
    if (movedCohorts.has(cohortKey(metadata))) {
      return true;
    }
    return (
      movesInWindow(metadata, nowMs).length <
      policies.get(metadata.service)!.limit
    );
  }

  return {
    canMove,
    allows: (metadata, region, nowMs) =>
      region === metadata.homeRegion || canMove(metadata, nowMs),
    note: (metadata, region, nowMs) => {
      const key = cohortKey(metadata);
      if (region === metadata.homeRegion) {
        movedCohorts.delete(key);
        return;
      }
      if (!movedCohorts.has(key)) {
        movedCohorts.add(key);
        movesInWindow(metadata, nowMs).push(nowMs);
      }
    },
  };
}

function cohortKey(metadata: RequestMetadata): string {
  return `${metadata.service}/${metadata.homeRegion}/${metadata.cohort}`;
}
