/** Detects pauses of this process by the time between its ticks. */

export interface PauseDetector {
  /** Returns whether the process was paused since the last tick. */
  tick(nowMs: number): boolean;
}

export function createPauseDetector(
  tickIntervalMs: number,
  toleranceMs: number,
): PauseDetector {
  let lastTickMs: number | undefined;
  return {
    tick: nowMs => {
      const gapMs = nowMs - (lastTickMs ?? nowMs);
      lastTickMs = nowMs;
      return gapMs > tickIntervalMs + toleranceMs;
    },
  };
}
