/* eslint-disable no-restricted-globals --
   the one module of the client that reads the clock and sets timers */
import type {ClientTimers} from './types.js';

export function createSystemTimers(): ClientTimers {
  return {
    nowMs: () => performance.now(),
    sleep: delayMs =>
      new Promise(resolve => {
        setTimeout(resolve, Math.max(0, delayMs));
      }),
  };
}
