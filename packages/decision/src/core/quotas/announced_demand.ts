/**
 * What one VM has told the others of its demand. Increases are announced first
 * and count for the VM itself only after a delay, when the others have heard of
 * them and have made room; decreases count at once.
 */
export interface AnnouncedDemand {
  /** Demand that the VM may claim a share for, in requests per second. */
  claimed(nowMs: number): number;
  /** What was announced last; 0 before the first time. */
  announced(): number;
  /**
   * Returns the demand to announce now, or undefined if what was announced last
   * is near enough.
   *
   * @param minimumPerSecond Smaller demands are announced as 0.
   */
  takeNews(
    perSecond: number,
    minimumPerSecond: number,
    nowMs: number,
  ): number | undefined;
}

/** Time for an announcement to reach the other VMs. */
const ANNOUNCEMENT_DELAY_MS = 250;
/** Smaller increases are not announced. */
const INCREASE_FACTOR = 1.3;
/** Smaller decreases are not announced, since they cost no other VM much. */
const DECREASE_FACTOR = 0.5;
/** A demand that comes and goes is not announced at each request. */
const DECREASE_INTERVAL_MS = 1_000;
const ROUNDING = 100;

export function createAnnouncedDemand(): AnnouncedDemand {
  let claimedBefore = 0;
  let announced = 0;
  let announcedAtMs = -Infinity;

  function claimed(nowMs: number): number {
    const hasArrived = nowMs - announcedAtMs >= ANNOUNCEMENT_DELAY_MS;
    return hasArrived ? announced : Math.min(announced, claimedBefore);
  }

  function announce(perSecond: number, nowMs: number): number {
    claimedBefore = claimed(nowMs);
    announced = perSecond;
    announcedAtMs = nowMs;
    return perSecond;
  }

  return {
    claimed,
    announced: () => announced,
    takeNews: (perSecond, minimumPerSecond, nowMs) => {
      const rounded = Math.ceil(perSecond * ROUNDING) / ROUNDING;
      const next = rounded < minimumPerSecond ? 0 : rounded;
      if (next > announced * INCREASE_FACTOR) {
        return announce(next, nowMs);
      }
      const isDecrease =
        next < announced * DECREASE_FACTOR &&
        nowMs - announcedAtMs >= DECREASE_INTERVAL_MS;
      return isDecrease ? announce(next, nowMs) : undefined;
    },
  };
}
