import type {TimerService} from './types.js';

/**
 * Calls back once sockets have been read that could be read at the time of the
 * call. After a pause of the process, timers and other sockets come first, so that
 * what a decision is based on may be older than what has been received.
 *
 * The current turn of the event loop may be past its sockets already, therefore
 * the end of the next one is awaited.
 */
export function afterInputRead(
  timers: Pick<TimerService, 'atTurnEnd'>,
  callback: () => void,
): void {
  timers.atTurnEnd(() => {
    timers.atTurnEnd(callback);
  });
}
