/** Store calls with their callbacks, and the back-off after failed calls. */
import type {RandomSource} from '../model/index.js';
import type {
  ClaimStoreCall,
  ClaimStoreResult,
  ClaimsAction,
} from './claims_types.js';

const FAILURES_BEFORE_BACKOFF = 3;
const INITIAL_BACKOFF_MS = 1_000;
const MAXIMUM_BACKOFF_MS = 15_000;

export type StoreCallback = (result: ClaimStoreResult) => void;

export interface StoreAccess {
  call(operation: ClaimStoreCall, onResult: StoreCallback): void;
  /** Passes the result of a call to its callback. */
  handleResult(call: number, result: ClaimStoreResult, nowMs: number): void;
  /**
   * Milliseconds until the store may be called again; 0 if it may be called
   * now. Avoids a call per request while the store is unavailable.
   */
  backoffMs(nowMs: number): number;
}

export function createStoreAccess(
  emit: (action: ClaimsAction) => void,
  random: RandomSource,
): StoreAccess {
  const pendingCalls = new Map<number, StoreCallback>();
  let lastCall = 0;
  let consecutiveFailures = 0;
  let backoffUntilMs = Number.NEGATIVE_INFINITY;
  let nextBackoffMs = INITIAL_BACKOFF_MS;

  function recordResult(result: ClaimStoreResult, nowMs: number): void {
    if (result.kind !== 'unavailable' && result.kind !== 'lost-answer') {
      consecutiveFailures = 0;
      nextBackoffMs = INITIAL_BACKOFF_MS;
      return;
    }
    consecutiveFailures += 1;
    if (
      consecutiveFailures >= FAILURES_BEFORE_BACKOFF &&
      nowMs >= backoffUntilMs
    ) {
      backoffUntilMs = nowMs + nextBackoffMs * (0.5 + random.next());
      nextBackoffMs = Math.min(nextBackoffMs * 2, MAXIMUM_BACKOFF_MS);
    }
  }

  return {
    call: (operation, onResult) => {
      lastCall += 1;
      pendingCalls.set(lastCall, onResult);
      emit({kind: 'call-store', call: lastCall, operation});
    },
    handleResult: (call, result, nowMs) => {
      const onResult = pendingCalls.get(call);
      pendingCalls.delete(call);
      recordResult(result, nowMs);
      onResult?.(result);
    },
    backoffMs: nowMs => Math.max(0, backoffUntilMs - nowMs),
  };
}
