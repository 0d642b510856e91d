/**
 * Keeps a VM from hammering a store that is away: after a failed call, calls
 * are refused at once until a moment that moves out exponentially, with full
 * jitter so that VMs do not return together. One call at a time then tries.
 */
import type {RandomSource} from '@ibisbeam/decision';
import type {TimerService} from '../timers/index.js';

const FIRST_WAIT_MS = 100;
const LONGEST_WAIT_MS = 5_000;

export interface CircuitBreaker {
  /** Milliseconds until the next try, or `undefined` when a call may go. */
  enter(): number | undefined;
  succeeded(): void;
  /** @param atLeastMs What the store asked for, if it did. */
  failed(atLeastMs?: number): void;
}

export function createCircuitBreaker(
  timers: Pick<TimerService, 'nowMs'>,
  random: RandomSource,
): CircuitBreaker {
  let failures = 0;
  let closedUntilMs = 0;
  let probing = false;

  function enter(): number | undefined {
    if (failures === 0) {
      return undefined;
    }
    const leftMs = closedUntilMs - timers.nowMs();
    if (leftMs > 0) {
      return leftMs;
    }
    if (probing) {
      return FIRST_WAIT_MS;
    }
    probing = true;
    return undefined;
  }

  function failed(atLeastMs = 0): void {
    const ceilingMs = Math.min(
      FIRST_WAIT_MS * 2 ** Math.min(failures, 16),
      LONGEST_WAIT_MS,
    );
    failures += 1;
    probing = false;
    const waitMs = Math.max(atLeastMs, ceilingMs * (0.5 + random.next() / 2));
    closedUntilMs = timers.nowMs() + waitMs;
  }

  return {
    enter,
    failed,
    succeeded: () => {
      failures = 0;
      probing = false;
    },
  };
}
