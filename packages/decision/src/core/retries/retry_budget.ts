/**
 * Retry budget (retries and hedges together) of one workspace and service: a
 * token bucket that each success refills by a fraction of a token, so that an
 * outage cannot multiply the load.
 */
export interface RetryBudget {
  /** @param share 1, or 0.5 if another VM counts the same success. */
  succeeded(share: number): void;
  /** Takes one attempt from the budget; false if it is used up. */
  takeRetry(): boolean;
  /** Like `takeRetry`, and also limited by the smaller budget of hedges. */
  takeHedge(): boolean;
}

/** Upper bound of the tokens added per success. */
const MAXIMUM_FRACTION = 0.09;

export function createRetryBudget(
  retryFraction: number,
  hedgeFraction: number,
  burst: number,
): RetryBudget {
  let tokens = burst;
  let hedgeTokens = 1;
  const fraction = Math.min(
    Math.max(retryFraction, hedgeFraction),
    MAXIMUM_FRACTION,
  );

  return {
    succeeded: share => {
      tokens = Math.min(burst, tokens + fraction * share);
      hedgeTokens = Math.min(burst, hedgeTokens + hedgeFraction * share);
    },
    takeRetry: () => {
      if (retryFraction <= 0 || tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
    takeHedge: () => {
      if (hedgeFraction <= 0 || hedgeTokens < 1 || tokens < 1) {
        return false;
      }
      hedgeTokens -= 1;
      tokens -= 1;
      return true;
    },
  };
}
