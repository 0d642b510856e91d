/**
 * Runs sends to targets. A send waits until all sockets have been read once
 * more: after a pause of the process, a client's request or a due timer would
 * otherwise be handled before the client's disconnect, which is also there.
 * Sends take a bounded time of each event loop turn, so that sockets are read
 * often when there is more to send than the processor can do. While connections
 * wait to be accepted, turns without sends come first: each turn accepts only
 * one connection, and requests that are unread cannot be refused.
 */
import type {TimerService} from '@ibisbeam/library';
import type {AcceptBacklog} from './accept_backlog.js';

export interface SendScheduler {
  /**
   * Runs `send` in the next turn of the event loop that has time for it, in the
   * order of the calls; at once if another send calls this.
   */
  schedule(send: () => void): void;
  /** Number of sends that have not run yet. */
  length(): number;
}

/** Sends that take longer continue in the next turn of the event loop. */
const MAXIMUM_SEND_TIME_PER_TURN_MS = 10;
/** Longest time without sends while connections wait to be accepted. */
const MAXIMUM_ACCEPT_TIME_MS = 10;

export interface SendSchedulerOptions {
  readonly timers: Pick<TimerService, 'nowMs' | 'atTurnEnd'>;
  readonly acceptBacklog: Pick<AcceptBacklog, 'mayHaveMore'>;
}

export function createSendScheduler(
  options: SendSchedulerOptions,
): SendScheduler {
  const {timers, acceptBacklog} = options;
  /** Scheduled before the sockets were last read, oldest first. */
  const ready: (() => void)[] = [];
  /** Scheduled since the sockets were last read, oldest first. */
  let scheduled: (() => void)[] = [];
  let isTurnEndAwaited = false;
  let isSending = false;
  let lastSentAtMs = -Infinity;

  function awaitTurnEnd(): void {
    if (!isTurnEndAwaited) {
      isTurnEndAwaited = true;
      timers.atTurnEnd(onTurnEnd);
    }
  }

  function onTurnEnd(): void {
    isTurnEndAwaited = false;
    const scheduledBefore = scheduled;
    scheduled = [];
    try {
      runReadySends();
    } finally {
      ready.push(...scheduledBefore);
      if (ready.length > 0) {
        awaitTurnEnd();
      }
    }
  }

  function runReadySends(): void {
    const nowMs = timers.nowMs();
    const isAcceptTurn =
      acceptBacklog.mayHaveMore() &&
      nowMs - lastSentAtMs < MAXIMUM_ACCEPT_TIME_MS;
    if (isAcceptTurn) {
      return;
    }
    const endsAtMs = nowMs + MAXIMUM_SEND_TIME_PER_TURN_MS;
    let sendCount = 0;
    isSending = true;
    try {
      for (const send of ready) {
        sendCount += 1;
        send();
        if (timers.nowMs() >= endsAtMs) {
          return;
        }
      }
    } finally {
      isSending = false;
      ready.splice(0, sendCount);
      lastSentAtMs = sendCount > 0 ? timers.nowMs() : lastSentAtMs;
    }
  }

  return {
    schedule: send => {
      if (isSending) {
        send();
        return;
      }
      scheduled.push(send);
      awaitTurnEnd();
    },
    length: () => ready.length + scheduled.length,
  };
}
