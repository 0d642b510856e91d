/* eslint-disable no-restricted-globals, no-restricted-properties --
   the only module that reads system clocks and sets system timers */
import type {TimerHandle, TimerService} from './types.js';

/** Timer service on the process's own clocks and timers. */
export function createSystemTimerService(): TimerService {
  function after(delayMs: number, callback: () => void): TimerHandle {
    const timeout = setTimeout(callback, Math.max(0, delayMs));
    return {cancel: () => clearTimeout(timeout)};
  }

  function every(intervalMs: number, callback: () => void): TimerHandle {
    const interval = setInterval(callback, intervalMs);
    return {cancel: () => clearInterval(interval)};
  }

  function atTurnEnd(callback: () => void): TimerHandle {
    const immediate = setImmediate(callback);
    return {cancel: () => clearImmediate(immediate)};
  }

  return {
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
    after,
    every,
    at: (momentMs, callback) => after(momentMs - performance.now(), callback),
    atTurnEnd,
    sleep: delayMs =>
      new Promise(resolve => {
        after(delayMs, resolve);
      }),
  };
}
