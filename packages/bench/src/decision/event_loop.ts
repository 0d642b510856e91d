/**
 * Discrete-event loop in virtual time. Calls run in order of their due time;
 * calls due at the same time run in the order in which they were scheduled.
 */
import TinyQueue from 'tinyqueue';

export interface ScheduledCall {
  cancel(): void;
}

export interface EventLoop {
  /** Virtual milliseconds since the start of the run. */
  nowMs(): number;
  after(delayMs: number, call: () => void): ScheduledCall;
  at(dueMs: number, call: () => void): ScheduledCall;
  /** Runs all calls due at or before the given time. */
  runUntil(untilMs: number): void;
}

interface Entry {
  readonly dueMs: number;
  readonly sequence: number;
  call?: () => void;
}

export function createEventLoop(): EventLoop {
  const queue = new TinyQueue<Entry>([], compareEntries);
  let currentMs = 0;
  let sequence = 0;

  function at(dueMs: number, call: () => void): ScheduledCall {
    sequence += 1;
    const entry: Entry = {
      dueMs: Math.max(dueMs, currentMs),
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

  function runUntil(untilMs: number): void {
    for (;;) {
      const next = queue.peek();
      if (!next || next.dueMs > untilMs) {
        break;
      }
      queue.pop();
      currentMs = next.dueMs;
      next.call?.();
    }
    currentMs = untilMs;
  }

  return {
    nowMs: () => currentMs,
    after: (delayMs, call) => at(currentMs + delayMs, call),
    at,
    runUntil,
  };
}

function compareEntries(left: Entry, right: Entry): number {
  return left.dueMs - right.dueMs || left.sequence - right.sequence;
}
