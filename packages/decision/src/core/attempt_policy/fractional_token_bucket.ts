/** Token bucket that each event refills by a fraction of a token. */
export interface FractionalTokenBucket {
  /** Adds the fraction of a token for one event. */
  credit(): void;
  /** Takes one token; returns false if there is none. */
  take(): boolean;
}

/**
 * @param fraction Tokens per event, 0 to 1.
 * @param burst Capacity of the bucket in tokens; it starts full.
 */
export function createFractionalTokenBucket(
  fraction: number,
  burst: number,
): FractionalTokenBucket {
  let tokens = burst;
  return {
    credit: () => {
      tokens = Math.min(burst, tokens + fraction);
    },
    take: () => {
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
  };
}
