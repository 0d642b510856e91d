/**
 * Budget of further attempts (retries and hedges together) for one workspace
 * and service. It fills by a fraction of each success and holds a small burst,
 * so that an outage cannot multiply the load.
 */
export interface RetryBudget {
  /** @param share 1, or 0.5 where another VM counts the same success. */
  succeeded(share: number): void;
  /** Takes one attempt out of the budget if there is one. */
  takeRetry(): boolean;
  /** Hedges have a smaller budget inside the common one. */
  takeHedge(): boolean;
}

/** Retries and hedges together never fill faster than this. */
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
