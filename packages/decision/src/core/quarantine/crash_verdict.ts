/**
 * Tells a request that crashes targets from one that was running when targets
 * died for another reason. What counts is the share of deaths that met the
 * request, compared with the share of target time that its runs take: a request
 * that is in flight at half of the targets meets half of the deaths by chance.
 */

/** When a target died, as far as it is known. */
export interface DeathSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

export interface CrashCase {
  /** Deaths of targets that were running the request, one for each target. */
  readonly losses: readonly DeathSpan[];
  /** Deaths of targets in the same period, including `losses`. */
  readonly deaths: number;
  /**
   * Share of the targets' time that runs took which the targets outlived, 0 to
   * 1; 0 if there was none.
   */
  readonly survivedShare: number;
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

export function judgeCrashCase(crashCase: CrashCase): CrashVerdict {
  const {losses, survivedShare} = crashCase;
  const deaths = Math.max(crashCase.deaths, losses.length);
  if (losses.length < TARGETS_TO_BLAME) {
    return 'clear';
  }
  const isSeparate = countSeparate(losses) >= SEPARATE_LOSSES;
  if (survivedShare === 0) {
    const explainsAll = deaths === losses.length;
    return explainsAll || isSeparate ? 'crashes-targets' : 'contained';
  }
  const chance = binomialTail(deaths, losses.length, survivedShare);
  return isSeparate && chance < CHANCE_LIMIT ? 'crashes-targets' : 'clear';
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
