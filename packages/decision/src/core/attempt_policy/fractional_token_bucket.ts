/** Token bucket that each event refills by a fraction of a token. */
export interface FractionalTokenBucket {
  /** An event has occurred. */
  credit(): void;
  /** Takes one token; false if there is none. */
  take(): boolean;
}

/**
 * @param fraction Tokens per event, 0 to 1.
 * @param burst Capacity of the bucket, which starts full.
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
