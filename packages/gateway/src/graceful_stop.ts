/**
 * Graceful stop: withdraws the VM from the directory, closes the listener,
 * answers requests in flight, and ends within the grace period.
 */
import type {Logger, TimerService} from '@ibisbeam/library';
import type {ClientFacingServer} from './forwarding/client_facing_server.js';

export interface GracefulStopOptions {
  readonly clientFacingServer: Pick<
    ClientFacingServer,
    'close' | 'terminate' | 'inFlight' | 'unfinished' | 'openConnections'
  >;
  readonly timers: TimerService;
  readonly log: Logger;
  /** Longest time from SIGTERM to the exit of the process. */
  readonly graceMs: number;
  /** Notifies peers that this VM accepts no more clients. */
  announceStop(): void;
  /** Stops everything except the client-facing server. */
  stopComponents(): void;
}

/** Reserved from the grace period for the exit of the process. */
const STOP_MARGIN_MS = 400;
/**
 * Time between the announcement and closing the listener. Clients cache a
 * directory response for up to 2 s before they connect elsewhere.
 */
const STOP_ANNOUNCEMENT_MS = 2_200;
/** Time to keep connections without a request after the listener has closed. */
const IDLE_CONNECTION_GRACE_MS = 600;
const STOP_POLL_INTERVAL_MS = 50;

export async function runGracefulStop(
  options: GracefulStopOptions,
): Promise<void> {
  const {clientFacingServer, timers, log} = options;
  const startedAtMs = timers.nowMs();
  const terminateAtMs = startedAtMs + options.graceMs - STOP_MARGIN_MS;
  log.log('info', 'vm-stopping', {
    inFlight: clientFacingServer.inFlight(),
  });
  options.announceStop();
  await timers.sleep(STOP_ANNOUNCEMENT_MS);
  void clientFacingServer.close();
  const idleEndMs = timers.nowMs() + IDLE_CONNECTION_GRACE_MS;
  while (!isDrained(idleEndMs)) {
    if (timers.nowMs() >= terminateAtMs) {
      logStopBound();
      break;
    }
    await timers.sleep(STOP_POLL_INTERVAL_MS);
  }
  // Stops reading now, because no later request would get a response.
  void clientFacingServer.terminate();
  options.stopComponents();
  log.log('info', 'vm-stopped', {
    tookMs: Math.round(timers.nowMs() - startedAtMs),
  });

  function logStopBound(): void {
    const unfinished = clientFacingServer.unfinished();
    let bytes = 0;
    for (const {bytesLeft} of unfinished) {
      bytes += bytesLeft;
    }
    log.log('warn', 'stop-bound-hit', {
      inFlight: clientFacingServer.inFlight(),
      connections: unfinished.length,
      bytes,
    });
  }

  /** An open connection may still deliver its first request. */
  function isDrained(idleEndMs: number): boolean {
    if (clientFacingServer.inFlight() > 0) {
      return false;
    }
    return (
      clientFacingServer.openConnections() === 0 || timers.nowMs() >= idleEndMs
    );
  }
}
