/**
 * Times at which refused callers were told to come back. Each is a reservation:
 * callers that have just arrived do not take what is reserved for those that
 * return.
 *
 * Load pattern: callers of a workspace that asks for several times its quota.
 * Without reservations newcomers take each allowance as it comes, and those who
 * waited as they were told are refused once more.
 */
export interface ReservedReturns {
  /**
   * Reserves the next free time.
   *
   * @param earliestMs Local time at which something will be available.
   * @param intervalMs Time between two returns.
   * @returns Undefined if no time within the horizon is left.
   */
  reserve(
    earliestMs: number,
    intervalMs: number,
    nowMs: number,
  ): number | undefined;
  /** Number of callers that are expected about now. */
  due(nowMs: number): number;
  /** Uses up a reservation that is due; returns false if there is none. */
  redeem(nowMs: number): boolean;
}

/** Callers come back a little early or late. */
const EARLY_MS = 50;
const LATE_MS = 400;
/** Callers that would have to wait for longer have mostly given up by then. */
const HORIZON_MS = 2_000;
const MAXIMUM_RESERVATIONS = 500;

export function createReservedReturns(): ReservedReturns {
  /** In ascending order. */
  let times: number[] = [];

  function forgetMissed(nowMs: number): void {
    const kept = times.findIndex(atMs => atMs >= nowMs - LATE_MS);
    if (kept !== 0) {
      times = kept < 0 ? [] : times.slice(kept);
    }
  }

  return {
    reserve: (earliestMs, intervalMs, nowMs) => {
      forgetMissed(nowMs);
      const last = times.at(-1);
      const next =
        last === undefined
          ? earliestMs
          : Math.max(earliestMs, last + intervalMs);
      const isFull = times.length >= MAXIMUM_RESERVATIONS;
      if (isFull || next > nowMs + HORIZON_MS) {
        return undefined;
      }
      times.push(next);
      return next;
    },
    due: nowMs => {
      forgetMissed(nowMs);
      let count = 0;
      for (const atMs of times) {
        if (atMs > nowMs + EARLY_MS) {
          break;
        }
        count += 1;
      }
      return count;
    },
    redeem: nowMs => {
      forgetMissed(nowMs);
      const [first] = times;
      if (first === undefined || first > nowMs + EARLY_MS) {
        return false;
      }
      times.shift();
      return true;
    },
  };
}
