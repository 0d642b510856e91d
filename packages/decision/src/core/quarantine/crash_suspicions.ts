/**
 * Requests after which targets died, by fingerprint. One lost target makes a
 * suspect: it runs only at one VM of the fleet, one attempt at a time. Two
 * lost targets put it under quarantine, which ends by itself; a third puts it
 * under a long one.
 */
import type {TargetId} from '../model/index.js';

export type SuspicionState = 'clear' | 'suspect' | 'quarantined';

export interface CrashSuspicions {
  state(fingerprint: string, nowMs: number): SuspicionState;
  targetsLost(fingerprint: string): readonly TargetId[];
  quarantinedUntilMs(fingerprint: string): number;
  /** True if the target is a new one for this request. */
  targetLost(fingerprint: string, target: TargetId, atMs: number): boolean;
  /** The request was answered: it does not crash targets. */
  answered(fingerprint: string): void;
  /** The target answered what it had since then: it did not die meanwhile. */
  targetSurvived(target: TargetId, sinceMs: number): void;
  lift(fingerprint: string): boolean;
  quarantined(nowMs: number): readonly string[];
  /** The latest suspicions, for a VM that has started. */
  recent(): readonly RecentSuspicion[];
  /** Fingerprints whose quarantine ended since the last call. */
  takeEnded(nowMs: number): readonly string[];
}

export interface RecentSuspicion {
  readonly fingerprint: string;
  readonly targets: readonly TargetId[];
  readonly lastLossMs: number;
}

export interface CrashSuspicionOptions {
  readonly quarantineMs: number;
  readonly longQuarantineMs: number;
}

interface Suspicion {
  /** Time of the loss by target. */
  readonly targets: Map<TargetId, number>;
  lastLossMs: number;
  endReported: boolean;
}

const TARGETS_TO_QUARANTINE = 2;
const TARGETS_TO_LONG_QUARANTINE = 3;
/** Suspicions kept; the one with the fewest and oldest losses is dropped. */
const MAXIMUM_SUSPICIONS = 2_000;
const MAXIMUM_RECENT_SUSPICIONS = 50;
const MAXIMUM_RECENT_TARGETS = 8;

export function createCrashSuspicions(
  options: CrashSuspicionOptions,
): CrashSuspicions {
  const suspicions = new Map<string, Suspicion>();

  function endOf(suspicion: Suspicion): number {
    const long = suspicion.targets.size >= TARGETS_TO_LONG_QUARANTINE;
    const durationMs = long ? options.longQuarantineMs : options.quarantineMs;
    return suspicion.lastLossMs + durationMs;
  }

  function state(fingerprint: string, nowMs: number): SuspicionState {
    const suspicion = suspicions.get(fingerprint);
    if (!suspicion) {
      return 'clear';
    }
    const ended = nowMs >= endOf(suspicion);
    if (suspicion.targets.size >= TARGETS_TO_QUARANTINE) {
      return ended ? 'suspect' : 'quarantined';
    }
    return ended ? 'clear' : 'suspect';
  }

  function targetLost(
    fingerprint: string,
    target: TargetId,
    atMs: number,
  ): boolean {
    const suspicion = suspicions.get(fingerprint) ?? {
      targets: new Map<TargetId, number>(),
      lastLossMs: atMs,
      endReported: false,
    };
    const added = !suspicion.targets.has(target);
    suspicion.targets.set(target, atMs);
    suspicion.lastLossMs = Math.max(suspicion.lastLossMs, atMs);
    suspicion.endReported = false;
    suspicions.set(fingerprint, suspicion);
    if (suspicions.size > MAXIMUM_SUSPICIONS) {
      evictEarliestEnding();
    }
    return added;
  }

  function evictEarliestEnding(): void {
    let earliest: string | undefined;
    let earliestEnd = Infinity;
    for (const [fingerprint, suspicion] of suspicions) {
      const end = endOf(suspicion);
      if (end < earliestEnd) {
        earliest = fingerprint;
        earliestEnd = end;
      }
    }
    if (earliest !== undefined) {
      suspicions.delete(earliest);
    }
  }

  function targetSurvived(target: TargetId, sinceMs: number): void {
    for (const [fingerprint, suspicion] of suspicions) {
      const lostMs = suspicion.targets.get(target);
      if (lostMs === undefined || lostMs < sinceMs) {
        continue;
      }
      suspicion.targets.delete(target);
      if (suspicion.targets.size === 0) {
        suspicions.delete(fingerprint);
      }
    }
  }

  function takeEnded(nowMs: number): readonly string[] {
    const ended: string[] = [];
    for (const [fingerprint, suspicion] of suspicions) {
      if (nowMs < endOf(suspicion)) {
        continue;
      }
      if (suspicion.targets.size < TARGETS_TO_QUARANTINE) {
        suspicions.delete(fingerprint);
        continue;
      }
      if (!suspicion.endReported) {
        suspicion.endReported = true;
        ended.push(fingerprint);
      }
      if (nowMs >= suspicion.lastLossMs + options.longQuarantineMs) {
        suspicions.delete(fingerprint);
      }
    }
    return ended;
  }

  return {
    state,
    targetsLost: fingerprint => [
      ...(suspicions.get(fingerprint)?.targets.keys() ?? []),
    ],
    quarantinedUntilMs: fingerprint => {
      const suspicion = suspicions.get(fingerprint);
      return suspicion ? endOf(suspicion) : 0;
    },
    targetLost,
    answered: fingerprint => {
      const suspicion = suspicions.get(fingerprint);
      if (suspicion) {
        suspicions.delete(fingerprint);
      }
    },
    targetSurvived,
    lift: fingerprint => suspicions.delete(fingerprint),
    quarantined: nowMs =>
      [...suspicions.keys()].filter(
        fingerprint => state(fingerprint, nowMs) === 'quarantined',
      ),
    recent: () =>
      [...suspicions.entries()]
        .slice(-MAXIMUM_RECENT_SUSPICIONS)
        .map(([fingerprint, {targets, lastLossMs}]) => ({
          fingerprint,
          targets: [...targets.keys()].slice(0, MAXIMUM_RECENT_TARGETS),
          lastLossMs,
        })),
    takeEnded,
  };
}
