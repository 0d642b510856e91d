/**
 * Failovers of regions whose VMs send no heartbeats. The fraction of cohorts
 * that other regions serve is a function of the recorded start and end and the
 * Unix time. Of two recorded starts the later one wins, so that no VM ramps
 * ahead of the others.
 */
import type {RegionName, ShiftPolicy} from '../model/index.js';

/** Other regions serve the cohorts of a region that sends no heartbeats. */
export interface Failover {
  readonly from: RegionName;
  readonly startedAtWallMs: number;
  /** When the region was heard again; absent while the failover runs. */
  readonly endedAtWallMs?: number;
}

export interface FailoverRegistry {
  get(from: RegionName): Failover | undefined;
  all(): readonly Failover[];
  /**
   * Merges the record of another VM.
   *
   * @returns Whether the local record changed.
   */
  merge(known: Failover): boolean;
  /**
   * Returns the running failover, or records and returns a new one.
   *
   * @param minimumRampMs Shortest time in which all cohorts may move.
   */
  start(from: RegionName, wallMs: number, minimumRampMs: number): Failover;
  /** @returns The ended failover; undefined if none was running. */
  end(from: RegionName, wallMs: number): Failover | undefined;
  /**
   * Removes failovers whose ramp back is complete.
   *
   * @param maximumRampMs Longest time in which all cohorts may move.
   */
  expire(wallMs: number, maximumRampMs: number): void;
}

export function createFailoverRegistry(): FailoverRegistry {
  const known = new Map<RegionName, Failover>();

  function merge(update: Failover): boolean {
    const current = known.get(update.from);
    const startedAtWallMs = Math.max(
      update.startedAtWallMs,
      current?.startedAtWallMs ?? -Infinity,
    );
    const endedAtWallMs = mergeEnds(current, update, startedAtWallMs);
    const changed =
      !current ||
      current.startedAtWallMs !== startedAtWallMs ||
      current.endedAtWallMs !== endedAtWallMs;
    if (changed) {
      known.set(update.from, {
        from: update.from,
        startedAtWallMs,
        endedAtWallMs,
      });
    }
    return changed;
  }

  function start(
    from: RegionName,
    wallMs: number,
    minimumRampMs: number,
  ): Failover {
    const earlier = known.get(from);
    if (earlier && earlier.endedAtWallMs === undefined) {
      return earlier;
    }
    const failover = {
      from,
      startedAtWallMs: wallMs - carriedRampMs(earlier, wallMs, minimumRampMs),
    };
    known.set(from, failover);
    return failover;
  }

  function end(from: RegionName, wallMs: number): Failover | undefined {
    const current = known.get(from);
    if (!current || current.endedAtWallMs !== undefined) {
      return undefined;
    }
    const ended = {...current, endedAtWallMs: wallMs};
    known.set(from, ended);
    return ended;
  }

  return {
    get: from => known.get(from),
    all: () => [...known.values()],
    merge,
    start,
    end,
    expire: (wallMs, maximumRampMs) => {
      for (const failover of [...known.values()]) {
        const endedAtWallMs = failover.endedAtWallMs ?? Infinity;
        if (wallMs - endedAtWallMs > maximumRampMs) {
          known.delete(failover.from);
        }
      }
    },
  };
}

/**
 * The later of the two ends. An end before the merged start belongs to an
 * earlier failover and is dropped.
 */
function mergeEnds(
  current: Failover | undefined,
  update: Failover,
  startedAtWallMs: number,
): number | undefined {
  const ends = [current?.endedAtWallMs, update.endedAtWallMs].filter(
    end => end !== undefined && end >= startedAtWallMs,
  ) as number[];
  return ends.length === 0 ? undefined : Math.max(...ends);
}

/**
 * Ramp time that a new failover takes over from an earlier one whose ramp back
 * is not complete, so that the moved fraction continues without a step.
 */
function carriedRampMs(
  earlier: Failover | undefined,
  wallMs: number,
  minimumRampMs: number,
): number {
  if (!earlier || earlier.endedAtWallMs === undefined) {
    return 0;
  }
  const rampedUpMs = Math.min(
    minimumRampMs,
    earlier.endedAtWallMs - earlier.startedAtWallMs,
  );
  return Math.max(0, rampedUpMs - (wallMs - earlier.endedAtWallMs));
}

/** Fraction of the region's cohorts that other regions may serve, 0 to 1. */
export function computeFailoverFraction(
  failover: Failover,
  policy: ShiftPolicy,
  capUtilization: number,
  wallMs: number,
): number {
  const rate = (policy.capFraction * capUtilization) / policy.intervalMs;
  const rampUpEndMs = Math.min(wallMs, failover.endedAtWallMs ?? Infinity);
  const reachedFraction = Math.max(
    0,
    Math.min(1, (rampUpEndMs - failover.startedAtWallMs) * rate),
  );
  const rampDownMs = Math.max(0, wallMs - (failover.endedAtWallMs ?? Infinity));
  return Math.max(0, reachedFraction - rampDownMs * rate);
}

/** Time in which all cohorts of a region move at this fraction of the cap. */
export function computeFullRampMs(
  policy: ShiftPolicy,
  capUtilization: number,
): number {
  return policy.intervalMs / (policy.capFraction * capUtilization);
}
