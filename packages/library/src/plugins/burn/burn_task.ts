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
import {createBurnMemory} from './burn_memory.js';
import {collectOldSummaries} from './summary_collection.js';
import {createSummaryWriter} from './summary_writer.js';

/** The last write of a stopping VM may take this long. */
const LAST_WRITE_TIMEOUT_MS = 2_000;
const FIRST_WRITE_WITHIN_MS = 60_000;

/** Counts finished requests and stores the counts of each hour. */
export function createBurnTask(context: TaskContext): Task<'burn'> {
  const {timers, settings, logger, metrics, random} = context;
  const memory = createBurnMemory();
  const writer = createSummaryWriter(context.platform);
  const countedFromMs = timers.wallMs();
  let configuration: Configuration | undefined;
  let writing: TimerHandle | undefined;
  let firstWrite: TimerHandle | undefined;
  let collectedOn: string | undefined;

  function summary(final: boolean): BurnSummary {
    return {
      vm: settings.vm.id,
      incarnation: context.incarnation,
      region: settings.vm.region,
      countedFromMs,
      countedToMs: timers.wallMs(),
      final,
      hours: memory.hours(),
      slices: memory.slices(),
    };
  }

  /** Once a day of the Unix clock, and once after a start. */
  async function collectOncePerDay(): Promise<void> {
    const today = formatUtcDate(timers.wallMs());
    if (today === collectedOn) {
      return;
    }
    collectedOn = today;
    const {platform} = context;
    await collectOldSummaries(platform, settings.vm.id, timers.wallMs());
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
      await collectOncePerDay();
    }
  }

  function record(finished: RequestRecord): void {
    const services = configuration?.workspaces.get(finished.workspace);
    const objective = services?.get(finished.service)?.policy.objective;
    if (!objective) {
      // Names that no configuration knows would let callers grow the counts.
      return;
    }
    memory.record(finished, objective.latencyThresholdMs, timers.wallMs());
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
    // An early first write lets a report name this life if it ends soon.
    firstWrite = timers.after(random.next() * FIRST_WRITE_WITHIN_MS, () => {
      void write(false);
    });
    // A random first delay spreads the writes of a fleet that starts together.
    writing = timers.after(random.next() * BURN_WRITE_INTERVAL_MS, () => {
      void write(false);
      writing = timers.every(BURN_WRITE_INTERVAL_MS, () => {
        void write(false);
      });
    });
  }

  async function stop(): Promise<void> {
    writing?.cancel();
    firstWrite?.cancel();
    await Promise.race([write(true), timers.sleep(LAST_WRITE_TIMEOUT_MS)]);
  }

  return {start: async () => scheduleWrites(), stop, observe, receive};
}
