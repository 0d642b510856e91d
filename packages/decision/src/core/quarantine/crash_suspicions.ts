/**
 * Tracks requests that may crash targets, by fingerprint. A request loses a
 * target if the target crashes while it may be running the request. After the
 * loss of one target the request is a suspect: only one VM of the fleet sends
 * it, one attempt at a time. After two it is quarantined for a limited time,
 * after three for a longer time.
 */
import type {TargetId} from '../model/index.js';

/**
 * `suspect` applies after one lost target, and after a quarantine has ended;
 * `quarantined` requests are refused.
 */
export type SuspicionState = 'clear' | 'suspect' | 'quarantined';

export interface CrashSuspicions {
  stateOf(fingerprint: string, nowMs: number): SuspicionState;
  lostTargets(fingerprint: string): readonly TargetId[];
  /** End of the suspicion or quarantine; 0 if the request is not suspected. */
  suspectedUntilMs(fingerprint: string): number;
  /**
   * Records that the target crashed during the request.
   *
   * @returns Whether this loss is new for the pair of request and target.
   */
  recordLoss(fingerprint: string, target: TargetId, atMs: number): boolean;
  /**
   * Clears the suspicion of a request that was answered.
   *
   * @returns Whether there was one.
   */
  recordResponse(fingerprint: string): boolean;
  /**
   * Records that the target answered a request that it received at `sinceMs`.
   * It has not crashed since then, so its losses after that time are cleared.
   */
  recordSurvival(target: TargetId, sinceMs: number): void;
  /** Ends a suspicion or quarantine; returns false if there was none. */
  lift(fingerprint: string): boolean;
  /** Fingerprints of the requests that are quarantined. */
  quarantined(nowMs: number): readonly string[];
  /** The suspicions added last, to be sent to a VM that has just started. */
  recent(): readonly RecentSuspicion[];
  /** Returns the fingerprints whose quarantine ended since the last call. */
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
  /** Time of the last loss of each target. */
  readonly targets: Map<TargetId, number>;
  lastLossMs: number;
  endReported: boolean;
}

const TARGETS_TO_QUARANTINE = 2;
const TARGETS_TO_LONG_QUARANTINE = 3;
/** Tracked suspicions; the one that ends first is evicted. */
const MAXIMUM_SUSPICIONS = 2_000;
const MAXIMUM_RECENT_SUSPICIONS = 50;
const MAXIMUM_RECENT_TARGETS = 8;

export function createCrashSuspicions(
  options: CrashSuspicionOptions,
): CrashSuspicions {
  const suspicions = new Map<string, Suspicion>();

  function endMs(suspicion: Suspicion): number {
    const isLong = suspicion.targets.size >= TARGETS_TO_LONG_QUARANTINE;
    const durationMs = isLong ? options.longQuarantineMs : options.quarantineMs;
    return suspicion.lastLossMs + durationMs;
  }

  function stateOf(fingerprint: string, nowMs: number): SuspicionState {
    const suspicion = suspicions.get(fingerprint);
    if (!suspicion) {
      return 'clear';
    }
    const ended = nowMs >= endMs(suspicion);
    if (suspicion.targets.size >= TARGETS_TO_QUARANTINE) {
      return ended ? 'suspect' : 'quarantined';
    }
    return ended ? 'clear' : 'suspect';
  }

  function recordLoss(
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
      const end = endMs(suspicion);
      if (end < earliestEnd) {
        earliest = fingerprint;
        earliestEnd = end;
      }
    }
    if (earliest !== undefined) {
      suspicions.delete(earliest);
    }
  }

  function recordSurvival(target: TargetId, sinceMs: number): void {
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
      if (nowMs < endMs(suspicion)) {
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
    stateOf,
    lostTargets: fingerprint => [
      ...(suspicions.get(fingerprint)?.targets.keys() ?? []),
    ],
    suspectedUntilMs: fingerprint => {
      const suspicion = suspicions.get(fingerprint);
      return suspicion ? endMs(suspicion) : 0;
    },
    recordLoss,
    recordResponse: fingerprint => suspicions.delete(fingerprint),
    recordSurvival,
    lift: fingerprint => suspicions.delete(fingerprint),
    quarantined: nowMs =>
      [...suspicions.keys()].filter(
        fingerprint => stateOf(fingerprint, nowMs) === 'quarantined',
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
