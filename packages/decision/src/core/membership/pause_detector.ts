/** Notices that this process was paused, by the gap between its own ticks. */

export interface SelfWatch {
  /** True when the time since the last tick means a pause. */
  tick(nowMs: number): boolean;
}

export function createSelfWatch(
  tickIntervalMs: number,
  toleranceMs: number,
): SelfWatch {
  let lastTickMs: number | undefined;
  return {
    tick: nowMs => {
      const gapMs = nowMs - (lastTickMs ?? nowMs);
      lastTickMs = nowMs;
      return gapMs > tickIntervalMs + toleranceMs;
    },
  };
}
