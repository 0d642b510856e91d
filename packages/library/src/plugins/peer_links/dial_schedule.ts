/** Decides when a peer may be dialled again: jittered exponential backoff. */
import type {RandomSource} from '@ibisbeam/decision';

const INITIAL_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 15_000;

export type DialOutcome = 'opened' | 'failed';

interface DialState {
  backoffMs: number;
  notBeforeMs: number;
}

export interface DialSchedule {
  mayDial(destination: string, nowMs: number): boolean;
  /**
   * Records the start of a dial. It delays the next one already, which limits the
   * rate of dialling a peer whose links open and then close.
   */
  began(destination: string, nowMs: number): void;
  /** Records the outcome of a dial; each failure doubles the backoff. */
  ended(destination: string, outcome: DialOutcome, nowMs: number): void;
  forget(destination: string): void;
}

export function createDialSchedule(random: RandomSource): DialSchedule {
  const states = new Map<string, DialState>();

  function stateOf(destination: string): DialState {
    let state = states.get(destination);
    if (!state) {
      state = {backoffMs: INITIAL_BACKOFF_MS, notBeforeMs: 0};
      states.set(destination, state);
    }
    return state;
  }

  return {
    mayDial: (destination, nowMs) =>
      nowMs >= (states.get(destination)?.notBeforeMs ?? 0),
    began: (destination, nowMs) => {
      const state = stateOf(destination);
      state.notBeforeMs = nowMs + state.backoffMs * (0.5 + random.next());
    },
    ended: (destination, outcome, nowMs) => {
      const state = stateOf(destination);
      if (outcome === 'opened') {
        state.backoffMs = INITIAL_BACKOFF_MS;
        return;
      }
      state.notBeforeMs = nowMs + state.backoffMs * (0.5 + random.next());
      state.backoffMs = Math.min(state.backoffMs * 2, MAXIMUM_BACKOFF_MS);
    },
    forget: destination => {
      states.delete(destination);
    },
  };
}
