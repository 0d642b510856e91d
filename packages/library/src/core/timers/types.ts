/** The only source of time; all other modules get clocks and timers here. */

export interface TimerHandle {
  cancel(): void;
}

export interface TimerService {
  /** Monotonic milliseconds; not comparable between VMs. */
  nowMs(): number;
  /** Milliseconds since the Unix epoch. */
  wallMs(): number;
  after(delayMs: number, callback: () => void): TimerHandle;
  /** Calls back each interval, first after one interval. */
  every(intervalMs: number, callback: () => void): TimerHandle;
  /**
   * Calls back when `nowMs` reaches the given time; without delay, but never
   * synchronously, if it has passed.
   */
  at(momentMs: number, callback: () => void): TimerHandle;
  /**
   * Calls back at the end of the current turn of the event loop, after the
   * callbacks of the sockets that were ready in it.
   */
  atTurnEnd(callback: () => void): TimerHandle;
  /** Resolves after the delay; never rejects. */
  sleep(delayMs: number): Promise<void>;
}

/** Timer service with a virtual clock that tests and benchmarks advance. */
export interface ManualTimerService extends TimerService {
  /** Advances the clocks and runs the timers due, in order of due time. */
  advance(spanMs: number): Promise<void>;
  /**
   * Advances the clocks without running the timers due, as when the process is
   * stopped.
   */
  advanceWithoutTimers(spanMs: number): void;
  /**
   * Advances only the time of day, as when the machine is suspended or its clock
   * is set.
   */
  advanceWallClock(spanMs: number): void;
  pendingCount(): number;
}
