import type {
  TaskMessages,
  TaskName,
  VmEvent,
  VmEventKind,
} from '../messages/index.js';
import {createMailbox, type Mailbox} from './mailbox.js';
import {computeStartOrder} from './start_order.js';
import type {Kernel, PlugIn, Task, TaskContext} from './types.js';

export const MAILBOX_CAPACITY = 4096;
const INITIAL_RESTART_DELAY_MS = 100;
const MAXIMUM_RESTART_DELAY_MS = 10_000;
/** A task that ran this long without failure restarts with the initial delay. */
const RESTART_BACKOFF_RESET_AFTER_MS = 60_000;
/** Events that carry state; restarted tasks receive the latest of each kind. */
const RETAINED_EVENTS: ReadonlySet<VmEventKind> = new Set([
  'configuration-in-force',
  'freshness-changed',
  'membership-changed',
] as const);
const DEFAULT_ASK_TIMEOUT_MS = 5_000;

type MailboxItem =
  | {readonly kind: 'message'; readonly message: TaskMessages[TaskName]}
  | {readonly kind: 'event'; readonly event: VmEvent};

interface RunningTask {
  readonly plugIn: PlugIn;
  task: Task<TaskName>;
  readonly mailbox: Mailbox<MailboxItem>;
  restartDelayMs: number;
  startedAtMs: number;
  restarting: boolean;
  /**
   * Items received before the task has started, at most MAILBOX_CAPACITY, in
   * order; `undefined` afterwards.
   */
  startQueue: MailboxItem[] | undefined;
}

export type KernelDependencies = Omit<TaskContext, 'publish' | 'post' | 'ask'>;

/** Creates a kernel from plug-ins; no task runs before `start`. */
export function createKernel(
  plugIns: readonly PlugIn[],
  dependencies: KernelDependencies,
): Kernel {
  const {timers, logger, metrics} = dependencies;
  const ordered = computeStartOrder(plugIns);
  const running = new Map<TaskName, RunningTask>();
  const retained = new Map<VmEventKind, VmEvent>();
  let stopping: Promise<void> | undefined;
  let fatal: unknown;
  let resolveEnded: (end: {readonly fatal?: unknown}) => void = () => {};
  const ended = new Promise<{readonly fatal?: unknown}>(resolve => {
    resolveEnded = resolve;
  });

  const context: TaskContext = {...dependencies, publish, post, ask};

  function offer(entry: RunningTask, item: MailboxItem): void {
    if (entry.restarting) {
      return;
    }
    if (entry.startQueue && entry.startQueue.length < MAILBOX_CAPACITY) {
      entry.startQueue.push(item);
      return;
    }
    if (!entry.startQueue && entry.mailbox.offer(item)) {
      return;
    }
    metrics.emit({
      kind: 'count',
      name: 'mailbox.dropped',
      tags: {task: entry.plugIn.name},
    });
    logger.log('warn', 'mailbox-full', {task: entry.plugIn.name});
  }

  function publish(event: VmEvent): void {
    if (RETAINED_EVENTS.has(event.kind)) {
      retained.set(event.kind, event);
    }
    for (const entry of running.values()) {
      if (entry.plugIn.subscribesTo.includes(event.kind)) {
        offer(entry, {kind: 'event', event});
      }
    }
  }

  function post<Name extends TaskName>(
    task: Name,
    message: TaskMessages[Name],
  ): void {
    const entry = running.get(task);
    if (entry) {
      offer(entry, {kind: 'message', message});
    }
  }

  function ask<Name extends TaskName, Answer>(
    task: Name,
    build: (reply: (answer: Answer) => void) => TaskMessages[Name],
    timeoutMs = DEFAULT_ASK_TIMEOUT_MS,
  ): Promise<Answer | undefined> {
    return new Promise(resolve => {
      const entry = running.get(task);
      if (!entry || entry.startQueue) {
        resolve(undefined);
        return;
      }
      const timeout = timers.after(timeoutMs, () => resolve(undefined));
      post(
        task,
        build(answer => {
          timeout.cancel();
          resolve(answer);
        }),
      );
    });
  }

  function dispatch(
    entry: RunningTask,
    item: MailboxItem,
  ): void | Promise<void> {
    switch (item.kind) {
      case 'message':
        return entry.task.receive?.(item.message);
      case 'event':
        return entry.task.observe?.(item.event);
    }
  }

  function handleTaskFailure(entry: RunningTask, error: unknown): void {
    const {name, onFailure} = entry.plugIn;
    if (entry.restarting || stopping) {
      return;
    }
    logger.log('error', 'task-failed', {
      task: name,
      error: describeError(error),
    });
    if (onFailure === 'fatal') {
      fatal = error;
      void stop();
      return;
    }
    void restart(entry);
  }

  async function restart(entry: RunningTask): Promise<void> {
    const {name} = entry.plugIn;
    entry.restarting = true;
    entry.mailbox.clear();
    if (timers.nowMs() - entry.startedAtMs > RESTART_BACKOFF_RESET_AFTER_MS) {
      entry.restartDelayMs = INITIAL_RESTART_DELAY_MS;
    }
    await entry.task.stop().catch(() => {});
    await timers.sleep(entry.restartDelayMs);
    if (stopping) {
      return;
    }
    entry.restartDelayMs = Math.min(
      entry.restartDelayMs * 2,
      MAXIMUM_RESTART_DELAY_MS,
    );
    entry.task = entry.plugIn.create(context) as Task<TaskName>;
    entry.startedAtMs = timers.nowMs();
    metrics.emit({kind: 'count', name: 'task.restarts', tags: {task: name}});
    entry.restarting = false;
    try {
      await entry.task.start();
      replayRetainedEvents(entry);
      logger.log('warn', 'task-restarted', {task: name});
    } catch (error) {
      handleTaskFailure(entry, error);
    }
  }

  /** Restores the state that a restarted task lost. */
  function replayRetainedEvents(entry: RunningTask): void {
    for (const event of retained.values()) {
      if (entry.plugIn.subscribesTo.includes(event.kind)) {
        offer(entry, {kind: 'event', event});
      }
    }
  }

  function createEntry(plugIn: PlugIn): RunningTask {
    const entry: RunningTask = {
      plugIn,
      task: plugIn.create(context) as Task<TaskName>,
      mailbox: createMailbox<MailboxItem>(
        MAILBOX_CAPACITY,
        item => dispatch(entry, item),
        error => handleTaskFailure(entry, error),
      ),
      restartDelayMs: INITIAL_RESTART_DELAY_MS,
      startedAtMs: timers.nowMs(),
      restarting: false,
      startQueue: [],
    };
    return entry;
  }

  function flushStartQueue(entry: RunningTask): void {
    const {startQueue} = entry;
    entry.startQueue = undefined;
    for (const item of startQueue ?? []) {
      offer(entry, item);
    }
  }

  async function start(): Promise<void> {
    // Creates all mailboxes before the first task starts, so that no task misses
    // events that another one publishes while it starts.
    for (const plugIn of ordered) {
      running.set(plugIn.name, createEntry(plugIn));
    }
    for (const entry of running.values()) {
      if (stopping) {
        return;
      }
      await entry.task.start();
      if (stopping) {
        // The stop did not include a task that was still starting.
        await stopTask(entry);
        return;
      }
      entry.startedAtMs = timers.nowMs();
      flushStartQueue(entry);
      logger.log('debug', 'task-started', {task: entry.plugIn.name});
    }
    for (const hook of dependencies.hooks.vmStarted) {
      hook();
    }
  }

  function stop(): Promise<void> {
    stopping ??= stopAll();
    return stopping;
  }

  async function stopAll(): Promise<void> {
    const started = [...running.values()].filter(entry => !entry.startQueue);
    for (const entry of started.reverse()) {
      await stopTask(entry);
    }
    running.clear();
    resolveEnded({fatal});
  }

  async function stopTask(entry: RunningTask): Promise<void> {
    await entry.task.stop().catch(error =>
      logger.log('error', 'task-failed', {
        task: entry.plugIn.name,
        error: describeError(error),
      }),
    );
    entry.mailbox.clear();
  }

  return {start, stop, publish, post, ask, ended};
}

function describeError(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? error.message)
    : String(error);
}
