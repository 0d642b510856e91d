/**
 * A planned stop: leave the look-ups, wait out what callers have cached,
 * finish what is in flight, close. A fixed bound ends each wait.
 */
import type {TaskContext} from '../../core/kernel/index.js';

/** How often the end of the requests in flight is looked at. */
const IN_FLIGHT_CHECK_INTERVAL_MS = 20;

export interface GracefulStopSteps {
  inFlight(): number;
  /** Takes no further connection; answers close theirs. */
  closeListener(): void;
  /** Cuts what is left when the bound is hit. */
  terminate(): void;
}

export async function runGracefulStop(
  context: Pick<TaskContext, 'settings' | 'timers' | 'logger' | 'publish'>,
  steps: GracefulStopSteps,
): Promise<void> {
  const {settings, timers, logger} = context;
  const startedAtMs = timers.nowMs();
  const endsAtMs = startedAtMs + settings.stop.boundMs;
  context.publish({kind: 'stop-began', endsAtMs});
  logger.log('info', 'vm-stopping', {boundMs: settings.stop.boundMs});

  // Peers tell callers of this VM for as long as its heartbeats take to
  // spread, and callers believe it for the lifetime of a look-up.
  const spreadMs = 2 * settings.membership.heartbeatIntervalMs;
  const waitMs = settings.lookup.lifetimeMs + spreadMs;
  await timers.sleep(Math.min(waitMs, settings.stop.boundMs));

  steps.closeListener();
  while (steps.inFlight() > 0 && timers.nowMs() < endsAtMs) {
    await timers.sleep(IN_FLIGHT_CHECK_INTERVAL_MS);
  }
  const remaining = steps.inFlight();
  if (remaining > 0) {
    logger.log('warn', 'stop-bound-hit', {inFlight: remaining});
  }
  steps.terminate();
  logger.log('info', 'vm-stopped', {
    tookMs: Math.round(timers.nowMs() - startedAtMs),
  });
}
