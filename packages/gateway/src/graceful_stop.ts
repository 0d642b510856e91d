/**
 * The steps of a planned stop: clients are told, the listener closes, what is
 * in flight is answered, and the process ends within its grace.
 */
import type {Logger, TimerService} from '@ibisbeam/library';
import type {CallerServer} from './forwarding/caller_server.js';

export interface GracefulStopOptions {
  readonly callerServer: Pick<
    CallerServer,
    'close' | 'terminate' | 'inFlight' | 'openConnections'
  >;
  readonly timers: TimerService;
  readonly log: Logger;
  /** From SIGTERM to the end of the process. */
  readonly graceMs: number;
  /** Tells peers and readiness checks that this VM takes no more clients. */
  announce(): void;
  /** Ends everything but the caller server. */
  stopComponents(): void;
}

/** Kept of the stop's grace for ending the process. */
const STOP_MARGIN_MS = 400;
/** Clients keep a directory answer for 2 s and then connect elsewhere. */
const STOP_ANNOUNCEMENT_MS = 2_200;
/** Connections without a request are kept so long after the listener closed. */
const IDLE_CONNECTION_GRACE_MS = 600;
const STOP_POLL_INTERVAL_MS = 50;

export async function runGracefulStop(
  options: GracefulStopOptions,
): Promise<void> {
  const {callerServer, timers, log} = options;
  const startedAtMs = timers.nowMs();
  const deadlineMs = startedAtMs + options.graceMs - STOP_MARGIN_MS;
  log.log('info', 'vm-stopping', {inFlight: callerServer.inFlight()});
  options.announce();
  await timers.sleep(STOP_ANNOUNCEMENT_MS);
  void callerServer.close();
  const idleGraceEndsAtMs = timers.nowMs() + IDLE_CONNECTION_GRACE_MS;
  while (!isDrained(idleGraceEndsAtMs)) {
    if (timers.nowMs() >= deadlineMs) {
      log.log('warn', 'stop-bound-hit', {inFlight: callerServer.inFlight()});
      break;
    }
    await timers.sleep(STOP_POLL_INTERVAL_MS);
  }
  // Nothing is read from here on, so that nothing can be left unanswered.
  void callerServer.terminate();
  options.stopComponents();
  log.log('info', 'vm-stopped', {
    tookMs: Math.round(timers.nowMs() - startedAtMs),
  });

  /** A connection that is open may still bring its first request. */
  function isDrained(idleGraceEndsAtMs: number): boolean {
    if (callerServer.inFlight() > 0) {
      return false;
    }
    return (
      callerServer.openConnections() === 0 ||
      timers.nowMs() >= idleGraceEndsAtMs
    );
  }
}
