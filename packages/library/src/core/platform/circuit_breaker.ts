/**
 * Circuit breaker for calls to the platform's store. After a failed call,
 * further calls are refused without being sent, for a delay that doubles with
 * each consecutive failure. Half of the delay is jittered, so that VMs do not
 * retry at the same moment. After the delay one probe call is admitted at a
 * time until a call succeeds.
 */
import type {RandomSource} from '@ibisbeam/decision';
import type {TimerService} from '../timers/index.js';

const INITIAL_DELAY_MS = 100;
const MAXIMUM_DELAY_MS = 5_000;

export interface CircuitBreaker {
  /**
   * Admits a call, or refuses it. Each admitted call must be followed by
   * `recordSuccess` or `recordFailure`.
   *
   * @returns `undefined` if the call is admitted; otherwise milliseconds until
   *     the next attempt.
   */
  acquire(): number | undefined;
  recordSuccess(): void;
  /** @param minimumDelayMs Delay that the store requested (`Retry-After`). */
  recordFailure(minimumDelayMs?: number): void;
}

export function createCircuitBreaker(
  timers: Pick<TimerService, 'nowMs'>,
  random: RandomSource,
): CircuitBreaker {
  let consecutiveFailures = 0;
  let openUntilMs = 0;
  let probeInFlight = false;

  function acquire(): number | undefined {
    if (consecutiveFailures === 0) {
      return undefined;
    }
    const remainingMs = openUntilMs - timers.nowMs();
    if (remainingMs > 0) {
      return remainingMs;
    }
    if (probeInFlight) {
      return INITIAL_DELAY_MS;
    }
    probeInFlight = true;
    return undefined;
  }

  function recordFailure(minimumDelayMs = 0): void {
    const ceilingMs = Math.min(
      INITIAL_DELAY_MS * 2 ** Math.min(consecutiveFailures, 16),
      MAXIMUM_DELAY_MS,
    );
    consecutiveFailures += 1;
    probeInFlight = false;
    const delayMs = Math.max(
      minimumDelayMs,
      ceilingMs * (0.5 + random.next() / 2),
    );
    openUntilMs = timers.nowMs() + delayMs;
  }

  return {
    acquire,
    recordFailure,
    recordSuccess: () => {
      consecutiveFailures = 0;
      probeInFlight = false;
    },
  };
}
