/**
 * Judges whether a VM may act on its copies of the store. A process that did
 * not run for a while missed changes, and what it then reads from its sockets
 * may have been sent long before; only the answer to a question that was asked
 * after the pause tells that the copies are current.
 */

/** `unconfirmed`: the VM has started or resumed, and nobody has answered yet. */
export type CopyState = 'confirmed' | 'unconfirmed';

export interface CopyFreshness {
  /** Records that the process has started, or runs again after a pause. */
  recordPause(nowMs: number): void;
  /** Records that a question asked at `askedAtMs` found the copies current. */
  recordConfirmation(askedAtMs: number): void;
  state(nowMs: number): CopyState;
  /** False too if the wait for a confirmation was given up. */
  isConfirmed(): boolean;
}

/**
 * Longest wait for a confirmation. VMs that all resume at once while the store
 * is away have nobody to ask, and go on with the newest copy among them. Longer
 * than it takes to find out that the VM is isolated.
 */
const CONFIRMATION_TIMEOUT_MS = 3_600;

export function createCopyFreshness(startMs: number): CopyFreshness {
  let pausedUntilMs = startMs;
  let isConfirmed = false;

  return {
    recordPause: nowMs => {
      pausedUntilMs = nowMs;
      isConfirmed = false;
    },
    recordConfirmation: askedAtMs => {
      isConfirmed ||= askedAtMs >= pausedUntilMs;
    },
    state: nowMs => {
      const isOverdue = nowMs - pausedUntilMs > CONFIRMATION_TIMEOUT_MS;
      return isConfirmed || isOverdue ? 'confirmed' : 'unconfirmed';
    },
    isConfirmed: () => isConfirmed,
  };
}
