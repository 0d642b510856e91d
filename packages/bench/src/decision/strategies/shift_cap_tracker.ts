/** Which cohorts were moved from home, and how many more may be now. */
import type {
  Configuration,
  RegionName,
  RequestMetadata,
  ServiceName,
} from '@ibisbeam/decision';

/** A run starts later than it was decided on, so the window is longer. */
const MARGIN = 1.1;

export interface MoveLedger {
  /** Whether the request may run in the region under its service's cap. */
  allows(facts: RequestMetadata, region: RegionName, nowMs: number): boolean;
  /** Whether its cohort may run away from home, now. */
  free(facts: RequestMetadata, nowMs: number): boolean;
  note(facts: RequestMetadata, region: RegionName, nowMs: number): void;
}

export function createMoveLedger(
  configuration: Configuration,
  cohorts: number,
): MoveLedger {
  const away = new Set<string>();
  const recent = new Map<string, number[]>();
  const policies = new Map<ServiceName, {limit: number; intervalMs: number}>();
  for (const services of configuration.workspaces.values()) {
    for (const [service, {policy}] of services) {
      policies.set(service, {
        limit: Math.ceil(policy.shift.capFraction * cohorts),
        intervalMs: policy.shift.intervalMs,
      });
    }
  }

  function movesOf(facts: RequestMetadata, nowMs: number): number[] {
    const key = `${facts.service}/${facts.homeRegion}`;
    const moves = recent.get(key) ?? [];
    recent.set(key, moves);
    const {intervalMs} = policies.get(facts.service)!;
    while (moves.length > 0 && moves[0]! <= nowMs - intervalMs * MARGIN) {
      moves.shift();
    }
    return moves;
  }

  function free(facts: RequestMetadata, nowMs: number): boolean {
    if (away.has(cohortKey(facts))) {
      return true;
    }
    return movesOf(facts, nowMs).length < policies.get(facts.service)!.limit;
  }

  return {
    free,
    allows: (facts, region, nowMs) =>
      region === facts.homeRegion || free(facts, nowMs),
    note: (facts, region, nowMs) => {
      const key = cohortKey(facts);
      if (region === facts.homeRegion) {
        away.delete(key);
        return;
      }
      if (!away.has(key)) {
        away.add(key);
        movesOf(facts, nowMs).push(nowMs);
      }
    },
  };
}

function cohortKey(facts: RequestMetadata): string {
  return `${facts.service}/${facts.homeRegion}/${facts.cohort}`;
}
