/** Multi-window burn rates and burn rate alerts. */

/**
 * Burn rate within one window. A rate of 1, if kept up, spends the error budget
 * exactly by the end of the objective's window.
 */
export interface WindowBurnRate {
  readonly window: BurnWindow;
  /** Absent when no requests were counted in the window. */
  readonly rate?: number;
  readonly total: number;
  readonly bad: number;
}

export type BurnWindow = '5m' | '1h' | '6h' | '3d';

export const BURN_WINDOWS: readonly {
  readonly window: BurnWindow;
  readonly spanMs: number;
}[] = [
  {window: '5m', spanMs: 300_000},
  {window: '1h', spanMs: 3_600_000},
  {window: '6h', spanMs: 21_600_000},
  {window: '3d', spanMs: 259_200_000},
];

/**
 * Each rule combines a long window, which shows that much of the budget was
 * spent, with a short one, which shows that it is still being spent.
 */
const ALERT_RULES: readonly {
  readonly severity: 'page' | 'ticket';
  readonly long: BurnWindow;
  readonly short: BurnWindow;
  readonly rate: number;
}[] = [
  {severity: 'page', long: '1h', short: '5m', rate: 14.4},
  {severity: 'page', long: '6h', short: '1h', rate: 6},
  {severity: 'ticket', long: '3d', short: '6h', rate: 1},
];

export interface BurnAlert {
  readonly severity: 'page' | 'ticket';
  /** Such as `at least 14.4 times the budget over 1h and 5m`. */
  readonly cause: string;
}

/** @param allowedFraction Positive fraction of the requests that may be bad. */
export function computeBurnRate(
  window: BurnWindow,
  counted: {readonly total: number; readonly bad: number},
  allowedFraction: number,
): WindowBurnRate {
  if (counted.total === 0) {
    return {window, ...counted};
  }
  const rate = counted.bad / counted.total / allowedFraction;
  return {window, ...counted, rate};
}

/** Alert of the first rule whose long and short window both reach its rate. */
export function findBurnAlert(
  rates: readonly WindowBurnRate[],
): BurnAlert | undefined {
  const byWindow = new Map(rates.map(entry => [entry.window, entry.rate ?? 0]));
  for (const rule of ALERT_RULES) {
    const long = byWindow.get(rule.long) ?? 0;
    const short = byWindow.get(rule.short) ?? 0;
    if (long >= rule.rate && short >= rule.rate) {
      return {
        severity: rule.severity,
        cause: `at least ${rule.rate} times the budget over ${rule.long} and ${rule.short}`,
      };
    }
  }
  return undefined;
}
