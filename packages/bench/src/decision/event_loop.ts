/** Virtual time: runs what is due in order of time, then of scheduling. */
import TinyQueue from 'tinyqueue';

export interface ScheduledCall {
  cancel(): void;
}

export interface EventLoop {
  /** Milliseconds since the start of the run. */
  nowMs(): number;
  after(delayMs: number, call: () => void): ScheduledCall;
  at(momentMs: number, call: () => void): ScheduledCall;
  /** Runs all that is due up to and at the moment. */
  runUntil(momentMs: number): void;
}

interface Entry {
  readonly momentMs: number;
  readonly sequence: number;
  call?: () => void;
}

export function createEventLoop(): EventLoop {
  const queue = new TinyQueue<Entry>([], compareEntries);
  let currentMs = 0;
  let sequence = 0;

  function at(momentMs: number, call: () => void): ScheduledCall {
    sequence += 1;
    const entry: Entry = {
      momentMs: Math.max(momentMs, currentMs),
      sequence,
      call,
    };
    queue.push(entry);
    return {
      cancel: () => {
        entry.call = undefined;
      },
    };
  }

  function runUntil(momentMs: number): void {
    for (;;) {
      const next = queue.peek();
      if (!next || next.momentMs > momentMs) {
        break;
      }
      queue.pop();
      currentMs = next.momentMs;
      next.call?.();
    }
    currentMs = momentMs;
  }

  return {
    nowMs: () => currentMs,
    after: (delayMs, call) => at(currentMs + delayMs, call),
    at,
    runUntil,
  };
}

function compareEntries(left: Entry, right: Entry): number {
  return left.momentMs - right.momentMs || left.sequence - right.sequence;
}
