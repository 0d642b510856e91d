/**
 * The kernel starts tasks in the order of their dependencies, routes typed
 * messages through bounded mailboxes, and applies the failure policy of a task
 * that throws.
 */
import type {RandomSource} from '@ibisbeam/decision';
import type {TokenSigner, TokenVerifier} from '../access/index.js';
import type {Logger} from '../logs/index.js';
import type {
  TaskMessages,
  TaskName,
  VmEvent,
  VmEventKind,
} from '../messages/index.js';
import type {Metrics} from '../metrics/index.js';
import type {PlatformStore} from '../platform/index.js';
import type {Settings} from '../settings/index.js';
import type {TimerService} from '../timers/index.js';
import type {Incarnation} from '@ibisbeam/decision';

export interface Task<Name extends TaskName> {
  /** Opens sockets and timers. If it rejects, the VM does not start. */
  start(): Promise<void>;
  /** Closes sockets and timers. Tasks stop in reverse start order. */
  stop(): Promise<void>;
  /** Handles one direct message at a time, in the order of sending. */
  receive?(message: TaskMessages[Name]): void | Promise<void>;
  /** Handles one subscribed event at a time, in order with the messages. */
  observe?(event: VmEvent): void | Promise<void>;
}

/** Services that the kernel provides to a task. */
export interface TaskContext {
  readonly settings: Settings;
  readonly incarnation: Incarnation;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platform: PlatformStore;
  readonly tokenVerifier: TokenVerifier;
  /** Signs the tokens with which this VM authenticates to peers. */
  readonly tokenSigner: TokenSigner;
  readonly hooks: Hooks;
  /** Puts the event into the mailbox of each task that subscribes to it. */
  publish(event: VmEvent): void;
  /** Sends a message; dropped if the task is absent or its mailbox is full. */
  post<Name extends TaskName>(task: Name, message: TaskMessages[Name]): void;
  /**
   * Posts a message with a reply callback and waits for the answer. Resolves to
   * `undefined` if the task is absent or has not started, its mailbox is full,
   * or no answer arrives within `timeoutMs`.
   */
  ask<Name extends TaskName, Answer>(
    task: Name,
    build: (reply: (answer: Answer) => void) => TaskMessages[Name],
    timeoutMs?: number,
  ): Promise<Answer | undefined>;
}

/**
 * What happens when a task throws: `restart` discards its mailbox and restarts
 * it with backoff; `fatal` shuts the kernel down gracefully.
 */
export type FailurePolicy = 'restart' | 'fatal';

export interface PlugIn<Name extends TaskName = TaskName> {
  readonly name: Name;
  readonly dependsOn: readonly TaskName[];
  readonly subscribesTo: readonly VmEventKind[];
  readonly onFailure: FailurePolicy;
  create(context: TaskContext): Task<Name>;
}

/**
 * Extension points, called in the order of registration. An error thrown by a
 * `requestFinished` hook is logged and ignored; an error thrown by another hook
 * propagates to the code that calls it.
 */
export interface Hooks {
  readonly vmStarted: readonly (() => void)[];
  readonly requestFinished: readonly ((
    record: import('@ibisbeam/decision').RequestRecord,
  ) => void)[];
  readonly configurationInForce: readonly ((generation: number) => void)[];
}

export interface Kernel {
  /** Starts the tasks one by one; rejects if one of them fails to start. */
  start(): Promise<void>;
  /** Stops the tasks in reverse start order; resolves when all have stopped. */
  stop(): Promise<void>;
  publish(event: VmEvent): void;
  post<Name extends TaskName>(task: Name, message: TaskMessages[Name]): void;
  ask: TaskContext['ask'];
  /** Resolves when `stop` or a fatal task failure has ended the kernel. */
  readonly ended: Promise<{readonly fatal?: unknown}>;
}
