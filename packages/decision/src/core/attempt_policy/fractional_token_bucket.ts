/** Lets through a share of what passes, and a short burst. */
export interface FractionalTokenBucket {
  /** One more has passed. */
  credit(): void;
  take(): boolean;
}

/**
 * @param fraction Of what passes, 0 to 1.
 * @param burst Most that can be saved up.
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
