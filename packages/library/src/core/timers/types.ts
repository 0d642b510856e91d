/** The one source of time. Parts subscribe to it; nothing else reads clocks. */

export interface TimerHandle {
  cancel(): void;
}

export interface TimerService {
  /** Milliseconds on a clock that never goes back; not comparable over VMs. */
  nowMs(): number;
  /** Milliseconds since the Unix epoch. */
  wallMs(): number;
  after(delayMs: number, callback: () => void): TimerHandle;
  /** First call after one interval. */
  every(intervalMs: number, callback: () => void): TimerHandle;
  /** At a moment of `nowMs`; at once (but not in this call) if it has passed. */
  at(momentMs: number, callback: () => void): TimerHandle;
  /** Resolves after the delay; rejects never. */
  sleep(delayMs: number): Promise<void>;
}

/** A timer service that a test or a bench moves by hand. */
export interface ManualTimerService extends TimerService {
  /** Runs all that is due within the span, in order of due time. */
  advance(spanMs: number): Promise<void>;
  /** Moves the clocks without running what is due, as a paused process sees. */
  pause(spanMs: number): void;
  pendingCount(): number;
}
