/**
 * Tells a request that crashes targets from one that was running when targets
 * died for another reason. What counts is how many of the deaths met the
 * request, compared with how many meet it by chance: a request that is in flight
 * at half of the targets meets half of the deaths.
 */

/** The time in which a target died; no length if the moment is known. */
export interface DeathSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** How a request runs at targets that outlive it. */
export interface SurvivedLoad {
  /** Mean number of its runs at one target. */
  readonly runsAtTarget: number;
  /** Runs that one target gets in a second. */
  readonly runsPerTargetSecond: number;
}

export interface CrashCase {
  /** Deaths of targets that were running the request, one for each target. */
  readonly losses: readonly DeathSpan[];
  /** Deaths of targets in the same period, including `losses`. */
  readonly deaths: number;
  /** Undefined if no target has outlived the request. */
  readonly survived: SurvivedLoad | undefined;
}

/** `contained`: only one run at a time may find out more. */
export type CrashVerdict = 'clear' | 'contained' | 'crashes-targets';

const TARGETS_TO_BLAME = 2;
/**
 * Losses at different times that are needed if other targets die as well, or if
 * targets have outlived the request: one cause can end many targets at once.
 */
const SEPARATE_LOSSES = 3;
/** Deaths within this time may have a common cause. */
const COMMON_CAUSE_MS = 200;
/** Highest probability of as many losses by chance. */
const CHANCE_LIMIT = 1e-4;
const SECOND_MS = 1_000;

export function judgeCrashCase(crashCase: CrashCase): CrashVerdict {
  const {losses, survived} = crashCase;
  const deaths = Math.max(crashCase.deaths, losses.length);
  if (losses.length < TARGETS_TO_BLAME) {
    return 'clear';
  }
  const isSeparate = countSeparate(losses) >= SEPARATE_LOSSES;
  if (!survived) {
    const explainsAll = deaths === losses.length;
    return explainsAll || isSeparate ? 'crashes-targets' : 'contained';
  }
  const share = shareMetByChance(losses, survived);
  const chance = binomialTail(deaths, losses.length, share);
  return isSeparate && chance < CHANCE_LIMIT ? 'crashes-targets' : 'clear';
}

/**
 * The share of deaths that meet the request by chance. A target that has died
 * unnoticed goes on getting requests, which wait there in vain.
 */
export function shareMetByChance(
  losses: readonly DeathSpan[],
  {runsAtTarget, runsPerTargetSecond}: SurvivedLoad,
): number {
  let sum = 0;
  for (const {fromMs, untilMs} of losses) {
    const unnoticedSeconds = (untilMs - fromMs) / SECOND_MS;
    const share = runsAtTarget + runsPerTargetSecond * unnoticedSeconds;
    sum += Math.min(1, share);
  }
  return sum / losses.length;
}

/** Number of deaths of which no two may have happened together. */
export function countSeparate(spans: readonly DeathSpan[]): number {
  const byEnd = [...spans].sort((a, b) => a.untilMs - b.untilMs);
  let lastMs = -Infinity;
  let count = 0;
  for (const {fromMs, untilMs} of byEnd) {
    if (fromMs > lastMs + COMMON_CAUSE_MS) {
      count += 1;
      lastMs = untilMs;
    }
  }
  return count;
}

/**
 * Probability of at least `successes` in `trials`, each with the probability
 * `share`.
 */
export function binomialTail(
  trials: number,
  successes: number,
  share: number,
): number {
  if (successes <= 0 || share >= 1) {
    return 1;
  }
  if (share <= 0) {
    return 0;
  }
  let tail = 0;
  let logTerm = trials * Math.log1p(-share);
  const logOdds = Math.log(share) - Math.log1p(-share);
  for (let count = 0; count <= trials; count += 1) {
    if (count >= successes) {
      tail += Math.exp(logTerm);
    }
    logTerm += Math.log((trials - count) / (count + 1)) + logOdds;
  }
  return Math.min(1, tail);
}
