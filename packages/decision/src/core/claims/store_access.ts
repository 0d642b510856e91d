/** Calls to the store with their continuations, and trust in the store. */
import type {RandomSource} from '../model/index.js';
import type {
  ClaimStoreCall,
  ClaimStoreResult,
  ClaimsAction,
} from './claims_types.js';

const FAILURES_BEFORE_DISTRUST = 3;
const FIRST_DISTRUST_MS = 1_000;
const LONGEST_DISTRUST_MS = 15_000;

export type StoreContinuation = (result: ClaimStoreResult) => void;

export interface StoreAccess {
  call(operation: ClaimStoreCall, then: StoreContinuation): void;
  answered(call: number, result: ClaimStoreResult, nowMs: number): void;
  /**
   * Zero when the store may be asked; else the milliseconds until it may be
   * tried again. Spares a store that is away a call for each booking.
   */
  distrustMs(nowMs: number): number;
}

export function createStoreAccess(
  emit: (action: ClaimsAction) => void,
  random: RandomSource,
): StoreAccess {
  const waiting = new Map<number, StoreContinuation>();
  let lastCall = 0;
  let failures = 0;
  let distrustedUntilMs = Number.NEGATIVE_INFINITY;
  let distrustForMs = FIRST_DISTRUST_MS;

  function noteResult(result: ClaimStoreResult, nowMs: number): void {
    if (result.kind !== 'unavailable' && result.kind !== 'lost-answer') {
      failures = 0;
      distrustForMs = FIRST_DISTRUST_MS;
      return;
    }
    failures += 1;
    if (failures >= FAILURES_BEFORE_DISTRUST && nowMs >= distrustedUntilMs) {
      distrustedUntilMs = nowMs + distrustForMs * (0.5 + random.next());
      distrustForMs = Math.min(distrustForMs * 2, LONGEST_DISTRUST_MS);
    }
  }

  return {
    call: (operation, then) => {
      lastCall += 1;
      waiting.set(lastCall, then);
      emit({kind: 'call-store', call: lastCall, operation});
    },
    answered: (call, result, nowMs) => {
      const then = waiting.get(call);
      waiting.delete(call);
      noteResult(result, nowMs);
      then?.(result);
    },
    distrustMs: nowMs => Math.max(0, distrustedUntilMs - nowMs),
  };
}
