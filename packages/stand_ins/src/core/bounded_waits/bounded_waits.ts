/** Waits for tests and benchmarks that fail instead of lasting forever. */
import type {TimerService} from '@ibisbeam/library';

export interface BoundedWait {
  readonly timers: Pick<TimerService, 'after' | 'sleep'>;
  readonly timeoutMs: number;
  /** What is waited for, as the error states it. */
  readonly awaited: string;
}

const POLL_INTERVAL_MS = 10;

/**
 * @throws If the promise is still pending after the time. What it stands for
 *     goes on.
 */
export function settleWithin<Value>(
  wait: BoundedWait,
  promise: Promise<Value>,
): Promise<Value> {
  const {timers, timeoutMs, awaited} = wait;
  return new Promise((resolve, reject) => {
    const timeout = timers.after(timeoutMs, () =>
      reject(new Error(`waited ${Math.round(timeoutMs)} ms for ${awaited}`)),
    );
    promise.then(resolve, reject).finally(timeout.cancel);
  });
}

/**
 * Polls the condition, which may take time itself.
 *
 * @throws If it does not hold within the time.
 */
export async function pollUntil(
  wait: BoundedWait,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  let isOver = false;

  async function poll(): Promise<void> {
    while (!isOver && !(await condition())) {
      await wait.timers.sleep(POLL_INTERVAL_MS);
    }
  }

  try {
    await settleWithin(wait, poll());
  } finally {
    isOver = true;
  }
}
