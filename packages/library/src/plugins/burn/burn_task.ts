import {
  BURN_WRITE_INTERVAL_MS,
  type BurnSummary,
  type Configuration,
  type RequestRecord,
  formatUtcDate,
} from '@ibisbeam/decision';
import type {Task, TaskContext} from '../../core/kernel/index.js';
import type {TaskMessages, VmEvent} from '../../core/messages/index.js';
import type {TimerHandle} from '../../core/timers/index.js';
import {createBurnHistory} from './burn_history.js';
import {deleteExpiredSummaries} from './expired_summaries.js';
import {createSummaryWriter} from './summary_writer.js';

/** Limits the final write, so that a slow store does not delay the stop. */
const FINAL_WRITE_TIMEOUT_MS = 2_000;
const MAXIMUM_FIRST_WRITE_DELAY_MS = 60_000;

/** Counts finished requests and writes the hourly counts to the store. */
export function createBurnTask(context: TaskContext): Task<'burn'> {
  const {timers, settings, logger, metrics, random} = context;
  const history = createBurnHistory();
  const writer = createSummaryWriter(context.platform);
  const countedFromMs = timers.wallMs();
  let configuration: Configuration | undefined;
  let writeTimer: TimerHandle | undefined;
  let firstWriteTimer: TimerHandle | undefined;
  let lastCleanupDay: string | undefined;

  function summary(final: boolean): BurnSummary {
    return {
      vm: settings.vm.id,
      incarnation: context.incarnation,
      region: settings.vm.region,
      countedFromMs,
      countedToMs: timers.wallMs(),
      final,
      hours: history.hours(),
      slices: history.slices(),
    };
  }

  /** Deletes expired summaries once per UTC day and once after a start. */
  async function deleteExpiredOncePerDay(): Promise<void> {
    const today = formatUtcDate(timers.wallMs());
    if (today === lastCleanupDay) {
      return;
    }
    lastCleanupDay = today;
    const {platform} = context;
    await deleteExpiredSummaries(platform, settings.vm.id, timers.wallMs());
  }

  async function write(final: boolean): Promise<void> {
    const error = await writer.write(summary(final));
    metrics.emit({
      kind: 'count',
      name: 'burn.summaries',
      tags: {result: error?.kind ?? 'written'},
    });
    if (error) {
      logger.log('warn', 'burn-summary-failed', {cause: error.kind});
      return;
    }
    logger.log('debug', 'burn-summary-written', {final});
    if (!final) {
      await deleteExpiredOncePerDay();
    }
  }

  function record(finished: RequestRecord): void {
    const services = configuration?.workspaces.get(finished.workspace);
    const objective = services?.get(finished.service)?.policy.objective;
    if (!objective) {
      // Counting unconfigured names would let callers grow the counts at will.
      return;
    }
    history.record(finished, objective.latencyThresholdMs, timers.wallMs());
  }

  function observe(event: VmEvent): void {
    switch (event.kind) {
      case 'request-finished':
        record(event.record);
        return;
      case 'configuration-in-force':
        configuration = event.configuration;
        return;
      default:
        return;
    }
  }

  function receive(message: TaskMessages['burn']): void {
    message.reply(summary(false));
  }

  function scheduleWrites(): void {
    // An early first write makes this incarnation known to reports even if it
    // ends soon.
    firstWriteTimer = timers.after(
      random.next() * MAXIMUM_FIRST_WRITE_DELAY_MS,
      () => {
        void write(false);
      },
    );
    // A random first delay spreads the writes of VMs that start together.
    writeTimer = timers.after(random.next() * BURN_WRITE_INTERVAL_MS, () => {
      void write(false);
      writeTimer = timers.every(BURN_WRITE_INTERVAL_MS, () => {
        void write(false);
      });
    });
  }

  async function stop(): Promise<void> {
    writeTimer?.cancel();
    firstWriteTimer?.cancel();
    await Promise.race([write(true), timers.sleep(FINAL_WRITE_TIMEOUT_MS)]);
  }

  return {start: async () => scheduleWrites(), stop, observe, receive};
}
