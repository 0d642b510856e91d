/**
 * What the whole fleet knows of requests that may crash targets: the targets
 * that died while they ran a request, those that died without it, and the runs
 * of the request that targets have outlived.
 */
import {
  type CrashVerdict,
  type DeathSpan,
  judgeCrashCase,
} from './crash_verdict.js';
import {createSurvivedRuns} from './survived_runs.js';

export interface TargetLoss extends DeathSpan {
  readonly fingerprint: string;
  readonly target: string;
}

/** What a verdict rests on. */
export interface CrashFindings {
  readonly verdict: CrashVerdict;
  readonly targetsLost: number;
  readonly deaths: number;
  readonly survivedShare: number;
  /** Time since the third target was lost; undefined before. */
  readonly sinceThirdLossMs: number | undefined;
}

export interface CrashEvidence {
  /** Records that a target died, whatever it was running. */
  recordDeath(target: string, atMs: number): void;
  /**
   * Records that a target died while it was running the request.
   *
   * @returns Whether this is new.
   */
  recordLoss(loss: TargetLoss, nowMs: number): boolean;
  /**
   * Records that the target answered a request that it had received at
   * `sinceMs`: it has not died since.
   */
  recordTargetAlive(target: string, sinceMs: number): void;
  recordSurvivedRun(
    fingerprint: string,
    durationMs: number,
    nowMs: number,
  ): void;
  /**
   * Records what a peer's targets outlived.
   *
   * @param msPerSecond Milliseconds of runs in a second, at the peak.
   */
  recordPeerSurvivedRuns(
    peer: string,
    fingerprint: string,
    msPerSecond: number,
  ): void;
  /** This VM's own part of what targets outlived, as a peer is told it. */
  survivedMsPerSecond(fingerprint: string, nowMs: number): number;
  /** Number of targets that are known to have died while they ran it. */
  countLosses(fingerprint: string): number;
  /** @param targetCount Number of targets that could run the request. */
  judge(fingerprint: string, targetCount: number, nowMs: number): CrashFindings;
  /** The losses of the requests with the most, for a VM that has just started. */
  gravestLosses(): readonly TargetLoss[];
  /** Drops what is too old to matter. */
  expire(nowMs: number): void;
}

export interface CrashEvidenceOptions {
  /** Time from the last loss for which a verdict holds. */
  readonly quarantineMs: number;
  /** The same after three losses. */
  readonly longQuarantineMs: number;
}

interface Suspect {
  readonly losses: Map<string, TargetLoss>;
  lastLossMs: number;
  /** The highest of what this VM's targets outlived since the first loss. */
  ownMsPerSecond: number;
}

/** Deaths this close to a loss may have the same cause. */
const NEAR_DEATH_MS = 5_000;
const LOSSES_TO_LONG_QUARANTINE = 3;
const THIRD_LOSS = 3;
const MAXIMUM_SUSPECTS = 2_000;
const MAXIMUM_PEER_REPORTS = 2_000;
const MAXIMUM_DEATHS = 2_000;
const MAXIMUM_TOLD_SUSPECTS = 50;
const MAXIMUM_TOLD_LOSSES = 8;
const SECOND_MS = 1_000;

export function createCrashEvidence(
  options: CrashEvidenceOptions,
): CrashEvidence {
  const suspects = new Map<string, Suspect>();
  const deathTimes = new Map<string, number>();
  const survivedRuns = createSurvivedRuns();
  /** Milliseconds in a second by request and peer; the oldest is evicted. */
  const peerSurvivedRuns = new Map<string, Map<string, number>>();

  function endMs({losses, lastLossMs}: Suspect): number {
    return (
      lastLossMs +
      (losses.size >= LOSSES_TO_LONG_QUARANTINE
        ? options.longQuarantineMs
        : options.quarantineMs)
    );
  }

  function evictGentlest(): void {
    let gentlest: string | undefined;
    let earliestMs = Infinity;
    for (const [fingerprint, suspect] of suspects) {
      const atMs = endMs(suspect);
      if (atMs < earliestMs) {
        gentlest = fingerprint;
        earliestMs = atMs;
      }
    }
    if (gentlest !== undefined) {
      suspects.delete(gentlest);
    }
  }

  function recordDeath(target: string, atMs: number): void {
    deathTimes.set(target, Math.min(atMs, deathTimes.get(target) ?? atMs));
    if (deathTimes.size > MAXIMUM_DEATHS) {
      for (const oldest of deathTimes.keys()) {
        deathTimes.delete(oldest);
        return;
      }
    }
  }

  function recordLoss(loss: TargetLoss, nowMs: number): boolean {
    const {fingerprint, target, untilMs} = loss;
    recordDeath(target, untilMs);
    const suspect = suspects.get(fingerprint) ?? {
      losses: new Map<string, TargetLoss>(),
      lastLossMs: untilMs,
      ownMsPerSecond: 0,
    };
    const isNew = !suspect.losses.has(target);
    suspect.losses.set(target, narrower(loss, suspect.losses.get(target)));
    suspect.lastLossMs = Math.max(suspect.lastLossMs, untilMs);
    suspects.set(fingerprint, suspect);
    updateOwn(fingerprint, suspect, nowMs);
    if (suspects.size > MAXIMUM_SUSPECTS) {
      evictGentlest();
    }
    return isNew;
  }

  function updateOwn(
    fingerprint: string,
    suspect: Suspect,
    nowMs: number,
  ): void {
    suspect.ownMsPerSecond = Math.max(
      suspect.ownMsPerSecond,
      survivedRuns.peakMsPerSecond(fingerprint, nowMs),
    );
  }

  function recordTargetAlive(target: string, sinceMs: number): void {
    const diedAtMs = deathTimes.get(target);
    if (diedAtMs === undefined || diedAtMs < sinceMs) {
      return;
    }
    deathTimes.delete(target);
    for (const [fingerprint, {losses}] of suspects) {
      losses.delete(target);
      if (losses.size === 0) {
        suspects.delete(fingerprint);
      }
    }
  }

  function recordPeerSurvivedRuns(
    peer: string,
    fingerprint: string,
    msPerSecond: number,
  ): void {
    const known = peerSurvivedRuns.get(fingerprint) ?? new Map();
    known.set(peer, Math.max(msPerSecond, known.get(peer) ?? 0));
    peerSurvivedRuns.delete(fingerprint);
    peerSurvivedRuns.set(fingerprint, known);
    if (peerSurvivedRuns.size > MAXIMUM_PEER_REPORTS) {
      for (const oldest of peerSurvivedRuns.keys()) {
        peerSurvivedRuns.delete(oldest);
        return;
      }
    }
  }

  function survivedShare(
    fingerprint: string,
    {ownMsPerSecond}: Suspect,
    targetCount: number,
  ): number {
    let msPerSecond = ownMsPerSecond;
    for (const peerMs of peerSurvivedRuns.get(fingerprint)?.values() ?? []) {
      msPerSecond += peerMs;
    }
    return Math.min(1, msPerSecond / SECOND_MS / Math.max(1, targetCount));
  }

  /** Counts the deaths that may have the same cause as one of the losses. */
  function countDeathsNear(losses: readonly TargetLoss[]): number {
    let count = 0;
    for (const atMs of deathTimes.values()) {
      const isNear = losses.some(
        ({untilMs}) => Math.abs(atMs - untilMs) <= NEAR_DEATH_MS,
      );
      if (isNear) {
        count += 1;
      }
    }
    return count;
  }

  function judge(
    fingerprint: string,
    targetCount: number,
    nowMs: number,
  ): CrashFindings {
    const suspect = suspects.get(fingerprint);
    if (!suspect || nowMs >= endMs(suspect)) {
      return NO_FINDINGS;
    }
    const losses = [...suspect.losses.values()];
    const deaths = countDeathsNear(losses);
    const share = survivedShare(fingerprint, suspect, targetCount);
    const times = losses.map(({untilMs}) => untilMs).sort((a, b) => a - b);
    const thirdLossMs = times[THIRD_LOSS - 1];
    return {
      verdict: judgeCrashCase({losses, deaths, survivedShare: share}),
      targetsLost: losses.length,
      deaths,
      survivedShare: share,
      sinceThirdLossMs:
        thirdLossMs === undefined ? undefined : nowMs - thirdLossMs,
    };
  }

  function gravestLosses(): readonly TargetLoss[] {
    const gravest = [...suspects.values()]
      .sort((a, b) => b.losses.size - a.losses.size)
      .slice(0, MAXIMUM_TOLD_SUSPECTS);
    return gravest.flatMap(({losses}) =>
      [...losses.values()].slice(-MAXIMUM_TOLD_LOSSES),
    );
  }

  function expire(nowMs: number): void {
    const oldestMs = nowMs - options.longQuarantineMs;
    for (const [target, atMs] of deathTimes) {
      if (atMs < oldestMs - NEAR_DEATH_MS) {
        deathTimes.delete(target);
      }
    }
    for (const [fingerprint, {lastLossMs}] of suspects) {
      if (lastLossMs < oldestMs) {
        suspects.delete(fingerprint);
        peerSurvivedRuns.delete(fingerprint);
      }
    }
  }

  return {
    recordDeath,
    recordLoss,
    recordTargetAlive,
    recordSurvivedRun: (fingerprint, durationMs, nowMs) => {
      survivedRuns.record(fingerprint, durationMs, nowMs);
      const suspect = suspects.get(fingerprint);
      if (suspect) {
        updateOwn(fingerprint, suspect, nowMs);
      }
    },
    recordPeerSurvivedRuns,
    survivedMsPerSecond: survivedRuns.peakMsPerSecond,
    countLosses: fingerprint => suspects.get(fingerprint)?.losses.size ?? 0,
    judge,
    gravestLosses,
    expire,
  };
}

const NO_FINDINGS: CrashFindings = {
  verdict: 'clear',
  targetsLost: 0,
  deaths: 0,
  survivedShare: 0,
  sinceThirdLossMs: undefined,
};

/** Of two reports of one death, the one that knows its time better. */
function narrower(loss: TargetLoss, known: TargetLoss | undefined): TargetLoss {
  if (!known) {
    return loss;
  }
  const isNarrower = loss.untilMs - loss.fromMs < known.untilMs - known.fromMs;
  return isNarrower ? loss : known;
}
