/**
 * Graceful stop: withdraws the VM from look-ups, waits until the responses that
 * callers have cached expire, completes the requests in flight, and closes.
 * `settings.stop.boundMs` limits all waits together.
 */
import type {TaskContext} from '../../core/kernel/index.js';

const IN_FLIGHT_CHECK_INTERVAL_MS = 20;

export interface GracefulStopSteps {
  inFlight(): number;
  /** Number of callers that may still be reading their last response. */
  lingering(): number;
  /** Stops accepting connections; further responses close their connection. */
  closeListener(): void;
  /** Closes the connections that wait for a request. */
  closeIdle(): void;
  /** Aborts the requests still in flight and closes all connections. */
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

  // Peers list this VM until the heartbeats that announce its stop have spread,
  // within two intervals, and callers cache a look-up for its lifetime.
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
  steps.closeIdle();
  while (steps.lingering() > 0 && timers.nowMs() < endsAtMs) {
    await timers.sleep(IN_FLIGHT_CHECK_INTERVAL_MS);
  }
  steps.terminate();
  logger.log('info', 'vm-stopped', {
    tookMs: Math.round(timers.nowMs() - startedAtMs),
  });
}
