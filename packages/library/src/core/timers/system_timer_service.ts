/* eslint-disable no-restricted-globals, no-restricted-properties --
   the one module that reads the clocks and sets timers of the platform */
import type {TimerHandle, TimerService} from './types.js';

/** The timer service of a running process. */
export function createSystemTimerService(): TimerService {
  function after(delayMs: number, callback: () => void): TimerHandle {
    const timeout = setTimeout(callback, Math.max(0, delayMs));
    return {cancel: () => clearTimeout(timeout)};
  }

  function every(intervalMs: number, callback: () => void): TimerHandle {
    const interval = setInterval(callback, intervalMs);
    return {cancel: () => clearInterval(interval)};
  }

  return {
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
    after,
    every,
    at: (momentMs, callback) => after(momentMs - performance.now(), callback),
    sleep: delayMs =>
      new Promise(resolve => {
        after(delayMs, resolve);
      }),
  };
}
