/** Which cohorts were moved from home, and how many more may be now. */
import type {
  Configuration,
  RegionName,
  RequestMetadata,
  ServiceName,
} from '@ibisbeam/decision';

/** A run starts later than it was decided on, so the window is longer. */
const WINDOW_MARGIN_FACTOR = 1.1;

export interface ShiftCapTracker {
  /** Whether the request may run in the region under its service's cap. */
  allows(metadata: RequestMetadata, region: RegionName, nowMs: number): boolean;
  /** Whether its cohort may run away from home, now. */
  canMove(metadata: RequestMetadata, nowMs: number): boolean;
  record(metadata: RequestMetadata, region: RegionName, nowMs: number): void;
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
    canMove: canMove,
    allows: (metadata, region, nowMs) =>
      region === metadata.homeRegion || canMove(metadata, nowMs),
    record: (metadata, region, nowMs) => {
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
