/**
 * Graceful stop: withdraws the VM from the directory, closes the listener,
 * answers requests in flight, and ends within the grace period.
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
  /** From SIGTERM to the exit of the process. */
  readonly graceMs: number;
  /** Notifies peers that this VM accepts no more clients. */
  announce(): void;
  /** Stops everything except the caller server. */
  stopComponents(): void;
}

/** Reserved from the grace period for the exit of the process. */
const STOP_MARGIN_MS = 400;
/** Clients cache a directory response for 2 s and then connect elsewhere. */
const STOP_ANNOUNCEMENT_MS = 2_200;
/** Connections without a request stay open this long after the close. */
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
  const idleEndMs = timers.nowMs() + IDLE_CONNECTION_GRACE_MS;
  while (!isDrained(idleEndMs)) {
    if (timers.nowMs() >= deadlineMs) {
      log.log('warn', 'stop-bound-hit', {inFlight: callerServer.inFlight()});
      break;
    }
    await timers.sleep(STOP_POLL_INTERVAL_MS);
  }
  // Stops reading, so that no further request is received and left unanswered.
  void callerServer.terminate();
  options.stopComponents();
  log.log('info', 'vm-stopped', {
    tookMs: Math.round(timers.nowMs() - startedAtMs),
  });

  /** An open connection may still deliver its first request. */
  function isDrained(idleEndMs: number): boolean {
    if (callerServer.inFlight() > 0) {
      return false;
    }
    return callerServer.openConnections() === 0 || timers.nowMs() >= idleEndMs;
  }
}
