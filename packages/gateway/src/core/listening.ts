/** Listens on addresses that may not be free yet, as after a restart. */
import type {Logger, TimerService} from '@ibisbeam/library';

export interface ListeningOptions {
  readonly timers: Pick<TimerService, 'nowMs' | 'sleep'>;
  readonly log: Logger;
  /** Whether the VM stops, so that the address is no longer needed. */
  isStopping(): boolean;
}

const LISTEN_TIMEOUT_MS = 5_000;
const LISTEN_RETRY_INTERVAL_MS = 50;
/** The address is still taken, or the machine does not have it yet. */
const TRANSIENT_CODES: ReadonlySet<unknown> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
]);

/**
 * Calls `listen` again while its address is not available, for some seconds.
 * Rejects with the last error.
 */
export async function listenWhenAvailable(
  listen: () => Promise<void>,
  {timers, log, isStopping}: ListeningOptions,
): Promise<void> {
  const deadlineMs = timers.nowMs() + LISTEN_TIMEOUT_MS;
  let isLogged = false;
  while (!isStopping()) {
    try {
      await listen();
      return;
    } catch (error) {
      if (!isTransient(error) || timers.nowMs() >= deadlineMs) {
        throw error;
      }
      if (!isLogged) {
        isLogged = true;
        const cause = String(error);
        log.log('warn', 'address-awaited', {
          cause,
          timeoutMs: LISTEN_TIMEOUT_MS,
        });
      }
    }
    await timers.sleep(LISTEN_RETRY_INTERVAL_MS);
  }
}

function isTransient(error: unknown): boolean {
  return (
    error instanceof Error && 'code' in error && TRANSIENT_CODES.has(error.code)
  );
}
