/** Lets through a share of what passes, and a short burst. */
export interface ShareAllowance {
  /** One more has passed. */
  earn(): void;
  take(): boolean;
}

/**
 * @param share Of what passes, 0 to 1.
 * @param burst Most that can be saved up.
 */
export function createShareAllowance(
  share: number,
  burst: number,
): ShareAllowance {
  let tokens = burst;
  return {
    earn: () => {
      tokens = Math.min(burst, tokens + share);
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
