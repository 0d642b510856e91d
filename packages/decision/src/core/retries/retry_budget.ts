/**
 * Retry budget (retries and hedges together) of one workspace and service: a
 * token bucket that each success refills by a fraction of a token, so that an
 * outage cannot multiply the load.
 */
export interface RetryBudget {
  /**
   * Refills the budget after a successful request.
   *
   * @param share 1, or 0.5 if another VM counts the same success.
   */
  recordSuccess(share: number): void;
  /** Takes one retry from the budget; returns false if it is used up. */
  takeRetry(): boolean;
  /** Like `takeRetry`, for a hedge; also limited by the budget of hedges. */
  takeHedge(): boolean;
}

/** Upper bound of the tokens per success, for retries and hedges together. */
const MAXIMUM_TOKENS_PER_SUCCESS = 0.09;

/**
 * @param retryFraction Retries per success; 0 disables retries.
 * @param hedgeFraction Hedges per success; 0 disables hedges.
 * @param burst Capacity in tokens. The budget starts full; the smaller budget
 *     of hedges starts with one token.
 */
export function createRetryBudget(
  retryFraction: number,
  hedgeFraction: number,
  burst: number,
): RetryBudget {
  let tokens = burst;
  let hedgeTokens = 1;
  const fraction = Math.min(
    Math.max(retryFraction, hedgeFraction),
    MAXIMUM_TOKENS_PER_SUCCESS,
  );

  return {
    recordSuccess: share => {
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
