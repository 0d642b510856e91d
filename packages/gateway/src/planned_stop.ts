/**
 * The steps of a planned stop: clients are told, the listener closes, what is
 * in flight is answered, and the process ends within its grace.
 */
import type {Logger, TimerService} from '@ibisbeam/library';
import type {CallerServer} from './forwarding/caller_server.js';

export interface PlannedStopOptions {
  readonly callerServer: Pick<
    CallerServer,
    'close' | 'abandon' | 'inFlight' | 'openConnections'
  >;
  readonly timers: TimerService;
  readonly log: Logger;
  /** From SIGTERM to the end of the process. */
  readonly graceMs: number;
  /** Tells peers and readiness checks that this VM takes no more clients. */
  announce(): void;
  /** Ends everything but the caller server. */
  endParts(): void;
}

/** Kept of the stop's grace for ending the process. */
const STOP_MARGIN_MS = 400;
/** Clients keep a directory answer for 2 s and then connect elsewhere. */
const STOP_NOTICE_MS = 2_200;
/** Connections without a request are kept so long after the listener closed. */
const STOP_LINGER_MS = 600;
const STOP_POLL_MS = 50;

export async function runPlannedStop(
  options: PlannedStopOptions,
): Promise<void> {
  const {callerServer, timers, log} = options;
  const beganMs = timers.nowMs();
  const endsMs = beganMs + options.graceMs - STOP_MARGIN_MS;
  log.log('info', 'vm-stopping', {inFlight: callerServer.inFlight()});
  options.announce();
  await timers.sleep(STOP_NOTICE_MS);
  void callerServer.close();
  const lingerUntilMs = timers.nowMs() + STOP_LINGER_MS;
  while (!isQuiet(lingerUntilMs)) {
    if (timers.nowMs() >= endsMs) {
      log.log('warn', 'stop-bound-hit', {inFlight: callerServer.inFlight()});
      break;
    }
    await timers.sleep(STOP_POLL_MS);
  }
  // Nothing is read from here on, so that nothing can be left unanswered.
  void callerServer.abandon();
  options.endParts();
  log.log('info', 'vm-stopped', {
    tookMs: Math.round(timers.nowMs() - beganMs),
  });

  /** A connection that is open may still bring its first request. */
  function isQuiet(untilMs: number): boolean {
    if (callerServer.inFlight() > 0) {
      return false;
    }
    return callerServer.openConnections() === 0 || timers.nowMs() >= untilMs;
  }
}
