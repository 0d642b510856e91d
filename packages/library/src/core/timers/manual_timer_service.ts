import type {ManualTimerService, TimerHandle} from './types.js';

interface PendingTimer {
  readonly order: number;
  dueMs: number;
  readonly intervalMs?: number;
  readonly callback: () => void;
}

/** Event loop turns that let pending promises settle between two timers. */
const SETTLE_EVENT_LOOP_TURNS = 4;

/**
 * @param startWallMs Unix time in milliseconds at which the virtual clock
 *     starts.
 */
export function createManualTimerService(startWallMs = 0): ManualTimerService {
  const pending = new Set<PendingTimer>();
  let nowMs = 0;
  /** Time of day at `nowMs` 0. */
  let wallStartMs = startWallMs;
  let lastOrder = 0;

  function add(
    dueMs: number,
    callback: () => void,
    intervalMs?: number,
  ): TimerHandle {
    lastOrder += 1;
    const timer = {order: lastOrder, dueMs, intervalMs, callback};
    pending.add(timer);
    return {cancel: () => pending.delete(timer)};
  }

  function nextDue(limitMs: number): PendingTimer | undefined {
    let first: PendingTimer | undefined;
    for (const timer of pending) {
      if (timer.dueMs > limitMs) {
        continue;
      }
      if (!first || isBefore(timer, first)) {
        first = timer;
      }
    }
    return first;
  }

  async function advance(spanMs: number): Promise<void> {
    const endMs = nowMs + spanMs;
    await settle();
    for (;;) {
      const timer = nextDue(endMs);
      if (!timer) {
        break;
      }
      nowMs = Math.max(nowMs, timer.dueMs);
      if (timer.intervalMs === undefined) {
        pending.delete(timer);
      } else {
        timer.dueMs = nowMs + timer.intervalMs;
      }
      timer.callback();
      await settle();
    }
    nowMs = endMs;
  }

  return {
    nowMs: () => nowMs,
    wallMs: () => wallStartMs + nowMs,
    after: (delayMs, callback) => add(nowMs + Math.max(0, delayMs), callback),
    every: (intervalMs, callback) =>
      add(nowMs + intervalMs, callback, intervalMs),
    at: (momentMs, callback) => add(Math.max(nowMs, momentMs), callback),
    atTurnEnd: callback => add(nowMs, callback),
    sleep: delayMs =>
      new Promise(resolve => {
        add(nowMs + Math.max(0, delayMs), resolve);
      }),
    advance,
    advanceWithoutTimers: spanMs => {
      nowMs += spanMs;
    },
    advanceWallClock: spanMs => {
      wallStartMs += spanMs;
    },
    pendingCount: () => pending.size,
  };
}

function isBefore(one: PendingTimer, other: PendingTimer): boolean {
  if (one.dueMs !== other.dueMs) {
    return one.dueMs < other.dueMs;
  }
  return one.order < other.order;
}

/** Runs promise continuations that are ready, before the next timer fires. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < SETTLE_EVENT_LOOP_TURNS; turn += 1) {
    await new Promise<void>(resolve => {
      setImmediate(resolve);
    });
  }
}
