/**
 * Holds back that a target refuses connections until it is known that this VM
 * is not the cause: requests that it ran would otherwise be suspected of having
 * crashed it.
 */
import type {TargetReach} from '@ibisbeam/decision';

export interface ConfirmedDeaths {
  add(incarnation: string, nowMs: number): void;
  /** @param reachedAtMs Last time at which any target was reached. */
  update(
    reach: TargetReach,
    reachedAtMs: number | undefined,
    nowMs: number,
  ): void;
}

/** Answers on their way when connections began to fail confirm nothing. */
const CONFIRMATION_DELAY_MS = 100;
/** All targets are down if the VM does not count as cut off by then. */
const MAXIMUM_WAIT_MS = 2_000;

export function createConfirmedDeaths(
  onDeath: (incarnation: string, failedAtMs: number) => void,
): ConfirmedDeaths {
  /** Time of the first failure. */
  const unconfirmed = new Map<string, number>();

  return {
    add: (incarnation, nowMs) => {
      if (!unconfirmed.has(incarnation)) {
        unconfirmed.set(incarnation, nowMs);
      }
    },
    update: (reach, reachedAtMs, nowMs) => {
      for (const [incarnation, failedAtMs] of unconfirmed) {
        if (reach === 'cut-off') {
          unconfirmed.clear();
          return;
        }
        const isReachedSince =
          reach === 'reaching' &&
          reachedAtMs !== undefined &&
          reachedAtMs > failedAtMs + CONFIRMATION_DELAY_MS;
        if (isReachedSince || nowMs - failedAtMs > MAXIMUM_WAIT_MS) {
          unconfirmed.delete(incarnation);
          onDeath(incarnation, failedAtMs);
        }
      }
    },
  };
}
