/**
 * The kernel: starts tasks in the order of their dependencies, routes typed
 * messages through bounded mailboxes, and restarts a task that throws.
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
  /** Opens sockets and timers. The VM does not start if it rejects. */
  start(): Promise<void>;
  /** Closes them. Called in the reverse of the starting order. */
  stop(): Promise<void>;
  /** One message at a time, in the order of sending. */
  receive?(message: TaskMessages[Name]): void | Promise<void>;
  /** Published events to which the plug-in subscribed, in the same order. */
  observe?(event: VmEvent): void | Promise<void>;
}

/** What a task gets from the kernel. */
export interface TaskContext {
  readonly settings: Settings;
  readonly incarnation: Incarnation;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platform: PlatformStore;
  readonly tokenVerifier: TokenVerifier;
  /** Signs this VM's own tokens for peers. */
  readonly tokenSigner: TokenSigner;
  readonly hooks: Hooks;
  publish(event: VmEvent): void;
  post<Name extends TaskName>(task: Name, message: TaskMessages[Name]): void;
  /**
   * Posts a message with a reply and waits for the answer; `undefined` when
   * the task is absent or has not started, its mailbox is full, or it takes
   * too long.
   */
  ask<Name extends TaskName, Answer>(
    task: Name,
    build: (reply: (answer: Answer) => void) => TaskMessages[Name],
    timeoutMs?: number,
  ): Promise<Answer | undefined>;
}

/**
 * What happens when a task throws: `restart` stops and starts it with backoff
 * and loses its mailbox; `fatal` takes the process down in good order.
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
 * Extension points, called in the order of registration. A hook that throws
 * is logged and passed over.
 */
export interface Hooks {
  readonly vmStarted: readonly (() => void)[];
  readonly requestFinished: readonly ((
    record: import('@ibisbeam/decision').RequestRecord,
  ) => void)[];
  readonly configurationInForce: readonly ((generation: number) => void)[];
}

export interface Kernel {
  start(): Promise<void>;
  /** Stops in good order; resolves when every task has stopped. */
  stop(): Promise<void>;
  publish(event: VmEvent): void;
  post<Name extends TaskName>(task: Name, message: TaskMessages[Name]): void;
  ask: TaskContext['ask'];
  /** Resolves when a fatal failure or stop() has ended the kernel. */
  readonly ended: Promise<{readonly fatal?: unknown}>;
}
