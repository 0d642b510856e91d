/**
 * Observes connections that wait to be accepted. The event loop accepts one
 * connection in each turn, so that connections wait, with their requests unread,
 * if more of them open than there are turns. The queue is known to be empty
 * after a turn that accepted none.
 */
import type {Logger, TimerService} from '@ibisbeam/library';

export interface AcceptBacklog {
  /** Called for each accepted connection. */
  recordAccept(): void;
  /** Whether more connections may be waiting. */
  mayHaveMore(): boolean;
}

export interface AcceptBacklogOptions {
  readonly timers: Pick<TimerService, 'nowMs' | 'atTurnEnd'>;
  readonly log: Logger;
  /** @param spanMs How long there were connections to accept in every turn. */
  recordSpan(spanMs: number): void;
}

/** Shorter spans are recorded, but leave no log line. */
const LOGGED_SPAN_MS = 100;

export function createAcceptBacklog(
  options: AcceptBacklogOptions,
): AcceptBacklog {
  const {timers, log, recordSpan} = options;
  let isObserving = false;
  let hasAcceptedInTurn = false;
  let startedAtMs = 0;
  let acceptedCount = 0;

  function onTurnEnd(): void {
    if (hasAcceptedInTurn) {
      hasAcceptedInTurn = false;
      timers.atTurnEnd(onTurnEnd);
      return;
    }
    isObserving = false;
    const spanMs = timers.nowMs() - startedAtMs;
    recordSpan(spanMs);
    if (spanMs >= LOGGED_SPAN_MS) {
      log.log('warn', 'accept-backlog', {
        count: acceptedCount,
        tookMs: Math.round(spanMs),
      });
    }
  }

  return {
    recordAccept: () => {
      hasAcceptedInTurn = true;
      if (!isObserving) {
        isObserving = true;
        startedAtMs = timers.nowMs();
        acceptedCount = 0;
        timers.atTurnEnd(onTurnEnd);
      }
      acceptedCount += 1;
    },
    mayHaveMore: () => isObserving,
  };
}
