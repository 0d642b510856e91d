/** Seeds that exposed a fault; run by `npm run soak -- --regressions`. */

export interface RegressionCase {
  readonly seed: number;
  readonly seconds: number;
  /** The fault that the seed exposed. */
  readonly cause: string;
}

export const REGRESSIONS: readonly RegressionCase[] = [
  {
    seed: 1,
    seconds: 8,
    cause:
      'a planned stop completed while an open connection was sending its first request',
  },
  {
    seed: 29,
    seconds: 8,
    cause:
      'a second SIGTERM during a planned stop ended the process immediately',
  },
];
