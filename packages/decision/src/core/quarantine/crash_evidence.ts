/**
 * What the whole fleet knows of requests that may crash targets: the targets
 * that died while they ran a request, those that died without it, and the runs
 * of the request that targets have outlived.
 */
import {
  type CrashVerdict,
  type DeathSpan,
  type SurvivedLoad,
  judgeCrashCase,
  shareMetByChance,
} from './crash_verdict.js';
import {
  NO_RUNS,
  type RunRate,
  createSurvivedRuns,
  maximumRate,
} from './survived_runs.js';

export interface TargetLoss extends DeathSpan {
  readonly fingerprint: string;
  readonly target: string;
  /**
   * Deaths at about the time of the request's losses, with or without it, that
   * a peer knows of. This VM may have missed some.
   */
  readonly deathsKnown?: number;
}

/** Runs that targets of one VM have outlived. */
export interface SurvivedRunsReport extends RunRate {
  readonly fingerprint: string;
  readonly vm: string;
}

/** What a verdict rests on. */
export interface CrashFindings {
  readonly verdict: CrashVerdict;
  readonly targetsLost: number;
  readonly deaths: number;
  /** Share of the deaths that meets the request by chance; 0 if unknown. */
  readonly chanceShare: number;
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
   * `sinceMs`: it has not died since, nor shortly before.
   */
  recordTargetAlive(target: string, sinceMs: number): void;
  recordSurvivedRun(
    fingerprint: string,
    durationMs: number,
    nowMs: number,
  ): void;
  /** Records what targets outlived of the requests that a peer sent. */
  recordPeerSurvivedRuns(
    peer: string,
    fingerprint: string,
    rate: RunRate,
  ): void;
  /** What targets outlived of the requests that this VM sent. */
  ownSurvivedRuns(fingerprint: string, nowMs: number): RunRate;
  /** Number of targets that are known to have died while they ran it. */
  countLosses(fingerprint: string): number;
  /** Time since the last of them died; 0 if there is none. */
  sinceLastLossMs(fingerprint: string, nowMs: number): number;
  /** @param targetCount Number of targets that could run the request. */
  judge(fingerprint: string, targetCount: number, nowMs: number): CrashFindings;
  /** The losses of the requests with the most, for a VM that has just started. */
  gravestLosses(): readonly TargetLoss[];
  /** What all VMs have told of the request, this one included as `self`. */
  survivedRuns(
    fingerprint: string,
    nowMs: number,
  ): readonly SurvivedRunsReport[];
  /** Deaths at about the time of the request's losses, as far as known. */
  countDeaths(fingerprint: string): number;
  /** Drops what is too old to matter. */
  expire(nowMs: number): void;
}

export interface CrashEvidenceOptions {
  /** This VM. */
  readonly self: string;
  /** Time from the last loss for which a verdict holds. */
  readonly quarantineMs: number;
  /** The same after three losses. */
  readonly longQuarantineMs: number;
}

interface Suspect {
  readonly losses: Map<string, TargetLoss>;
  lastLossMs: number;
  /** The highest of what this VM's targets outlived since the first loss. */
  ownRate: RunRate;
  /** The most that peers know of. */
  deathsKnown: number;
}

/** A target that has died takes longer to start anew. */
const LEAST_RESTART_MS = 1_000;
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
  /** By request and peer; the request that was told first is evicted. */
  const peerSurvivedRuns = new Map<string, Map<string, RunRate>>();

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
      ownRate: NO_RUNS,
      deathsKnown: 0,
    };
    const isNew = !suspect.losses.has(target);
    suspect.losses.set(target, combine(loss, suspect.losses.get(target)));
    suspect.lastLossMs = Math.max(suspect.lastLossMs, untilMs);
    suspect.deathsKnown = Math.max(suspect.deathsKnown, loss.deathsKnown ?? 0);
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
    const peak = survivedRuns.peak(fingerprint, nowMs);
    suspect.ownRate = maximumRate(suspect.ownRate, peak);
  }

  function recordTargetAlive(target: string, sinceMs: number): void {
    const diedAtMs = deathTimes.get(target);
    if (diedAtMs === undefined || sinceMs > diedAtMs + LEAST_RESTART_MS) {
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

  function ownSurvivedRuns(fingerprint: string, nowMs: number): RunRate {
    const suspect = suspects.get(fingerprint);
    const peak = survivedRuns.peak(fingerprint, nowMs);
    return suspect ? maximumRate(suspect.ownRate, peak) : peak;
  }

  function recordPeerSurvivedRuns(
    peer: string,
    fingerprint: string,
    rate: RunRate,
  ): void {
    const known =
      peerSurvivedRuns.get(fingerprint) ?? new Map<string, RunRate>();
    known.set(peer, maximumRate(rate, known.get(peer) ?? NO_RUNS));
    peerSurvivedRuns.delete(fingerprint);
    peerSurvivedRuns.set(fingerprint, known);
    if (peerSurvivedRuns.size > MAXIMUM_PEER_REPORTS) {
      for (const oldest of peerSurvivedRuns.keys()) {
        peerSurvivedRuns.delete(oldest);
        return;
      }
    }
  }

  function survivedLoad(
    fingerprint: string,
    suspect: Suspect,
    targetCount: number,
  ): SurvivedLoad | undefined {
    const rates = new Map(peerSurvivedRuns.get(fingerprint));
    // Peers repeat what this VM has told them, maybe before a restart.
    const toldByPeers = rates.get(options.self) ?? NO_RUNS;
    rates.set(options.self, maximumRate(suspect.ownRate, toldByPeers));
    let runsPerSecond = 0;
    let msPerSecond = 0;
    for (const rate of rates.values()) {
      runsPerSecond += rate.runsPerSecond;
      msPerSecond += rate.msPerSecond;
    }
    if (runsPerSecond === 0) {
      return undefined;
    }
    const targets = Math.max(1, targetCount);
    return {
      runsAtTarget: msPerSecond / SECOND_MS / targets,
      runsPerTargetSecond: runsPerSecond / targets,
    };
  }

  /** Counts the deaths that may have the same cause as one of the losses. */
  function countDeathsNear({losses, deathsKnown}: Suspect): number {
    let count = 0;
    for (const atMs of deathTimes.values()) {
      for (const {untilMs} of losses.values()) {
        if (Math.abs(atMs - untilMs) <= NEAR_DEATH_MS) {
          count += 1;
          break;
        }
      }
    }
    return Math.max(count, deathsKnown);
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
    const deaths = countDeathsNear(suspect);
    const survived = survivedLoad(fingerprint, suspect, targetCount);
    const times = losses.map(({untilMs}) => untilMs).sort((a, b) => a - b);
    const thirdLossMs = times[THIRD_LOSS - 1];
    return {
      verdict: judgeCrashCase({losses, deaths, survived}),
      targetsLost: losses.length,
      deaths,
      chanceShare: survived ? shareMetByChance(losses, survived) : 0,
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
    ownSurvivedRuns,
    countLosses: fingerprint => suspects.get(fingerprint)?.losses.size ?? 0,
    sinceLastLossMs: (fingerprint, nowMs) =>
      nowMs - (suspects.get(fingerprint)?.lastLossMs ?? nowMs),
    judge,
    gravestLosses,
    survivedRuns: (fingerprint, nowMs) => {
      const rates = new Map(peerSurvivedRuns.get(fingerprint));
      rates.set(options.self, ownSurvivedRuns(fingerprint, nowMs));
      return [...rates]
        .filter(([, {runsPerSecond}]) => runsPerSecond > 0)
        .map(([vm, rate]) => ({fingerprint, vm, ...rate}));
    },
    countDeaths: fingerprint => {
      const suspect = suspects.get(fingerprint);
      return suspect ? countDeathsNear(suspect) : 0;
    },
    expire,
  };
}

const NO_FINDINGS: CrashFindings = {
  verdict: 'clear',
  targetsLost: 0,
  deaths: 0,
  chanceShare: 0,
  sinceThirdLossMs: undefined,
};

/** The time of a death that fits two reports of it; the first if none does. */
function combine(loss: TargetLoss, known: TargetLoss | undefined): TargetLoss {
  if (!known) {
    return loss;
  }
  const fromMs = Math.max(loss.fromMs, known.fromMs);
  const untilMs = Math.min(loss.untilMs, known.untilMs);
  return fromMs <= untilMs ? {...known, fromMs, untilMs} : known;
}
