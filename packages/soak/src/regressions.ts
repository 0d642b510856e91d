/** Seeds that failed once, played again by `npm run soak -- --regressions`. */

export interface RegressionCase {
  readonly seed: number;
  readonly seconds: number;
  /** What the seed found. */
  readonly cause: string;
}

export const REGRESSIONS: readonly RegressionCase[] = [
  {
    seed: 1,
    seconds: 8,
    cause:
      'a planned stop ended while a connection that was open brought its first request',
  },
  {
    seed: 29,
    seconds: 8,
    cause: 'a second SIGTERM during a planned stop ended the process at once',
  },
];
