/** Watches the head of the configuration in the store. */
import {
  CONFIGURATION_HEAD_KEY,
  type ConfigurationHead,
  type RandomSource,
} from '@ibisbeam/decision';
import {parseConfigurationHead} from '../../core/configuration/index.js';
import type {
  ObjectVersion,
  PlatformObject,
  PlatformStore,
} from '../../core/platform/index.js';
import type {TimerService} from '../../core/timers/index.js';

const INITIAL_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 15_000;

export interface HeadWatchOptions {
  readonly platform: PlatformStore;
  readonly timers: TimerService;
  readonly random: RandomSource;
  /** How long the store may hold a watch call open without a change. */
  readonly waitMs: number;
  /**
   * Called with the head, or undefined if there is none. `requestedAtMs` is when
   * the call was sent: the head was the newest at that time or later.
   */
  readonly onHead: (
    head: ConfigurationHead | undefined,
    requestedAtMs: number,
  ) => void;
  /** @param cause Kind of the error of the store call or of the stored head. */
  readonly onFailed: (cause: string) => void;
  readonly onWatchGap: () => void;
}

export interface HeadWatch {
  /** Resolves after `onHead` or `onFailed` was called. */
  readOnce(): Promise<void>;
  setEnabled(enabled: boolean): void;
  stop(): void;
}

export function createHeadWatch(options: HeadWatchOptions): HeadWatch {
  const {platform, timers, random} = options;
  let abortController: AbortController | undefined;
  let lastHead: ConfigurationHead | undefined;

  /** @returns The version to watch from, or undefined if the read failed. */
  async function listHead(): Promise<ObjectVersion | undefined> {
    const requestedAtMs = timers.nowMs();
    const listed = await platform
      .list(CONFIGURATION_HEAD_KEY, {purpose: 'configuration-read'})
      .run();
    const error = listed.swap().toMaybe().extract();
    if (error) {
      options.onFailed(error.kind);
      return undefined;
    }
    const {objects, version} = listed.unsafeCoerce();
    const head = objects.find(({key}) => key === CONFIGURATION_HEAD_KEY);
    handleHead(head, requestedAtMs);
    return version;
  }

  function handleHead(
    object: PlatformObject | undefined,
    requestedAtMs: number,
  ): void {
    if (!object) {
      options.onHead(undefined, requestedAtMs);
      return;
    }
    parseConfigurationHead(object)
      .ifRight(head => {
        lastHead = head;
        options.onHead(head, requestedAtMs);
      })
      .ifLeft(problem => options.onFailed(problem.kind));
  }

  /** @returns The next version to watch from, or undefined to list again. */
  async function watchOnce(
    after: ObjectVersion,
    signal: AbortSignal,
  ): Promise<ObjectVersion | undefined> {
    const requestedAtMs = timers.nowMs();
    const watched = await platform
      .watch(CONFIGURATION_HEAD_KEY, after, {
        purpose: 'configuration-watch',
        waitMs: options.waitMs,
        signal,
      })
      .run();
    if (signal.aborted) {
      return undefined;
    }
    const error = watched.swap().toMaybe().extract();
    if (error?.kind === 'watch-gap') {
      options.onWatchGap();
      return undefined;
    }
    if (error) {
      options.onFailed(error.kind);
      return undefined;
    }
    const {changes, version} = watched.unsafeCoerce();
    const change = changes.at(-1);
    // Without a change, the last head was still the newest when the call was
    // sent.
    if (change?.kind === 'put') {
      handleHead(change.object, requestedAtMs);
    } else if (lastHead) {
      options.onHead(lastHead, requestedAtMs);
    }
    return version;
  }

  async function runWatchLoop(signal: AbortSignal): Promise<void> {
    let version: ObjectVersion | undefined;
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      const needsList = version === undefined;
      version = needsList
        ? await listHead()
        : await watchOnce(version!, signal);
      if (version !== undefined) {
        backoffMs = INITIAL_BACKOFF_MS;
        continue;
      }
      await timers.sleep(backoffMs * (0.5 + random.next()));
      backoffMs = Math.min(backoffMs * 2, MAXIMUM_BACKOFF_MS);
    }
  }

  function setEnabled(enabled: boolean): void {
    if (enabled === (abortController !== undefined)) {
      return;
    }
    abortController?.abort();
    abortController = undefined;
    if (enabled) {
      abortController = new AbortController();
      void runWatchLoop(abortController.signal);
    }
  }

  return {
    readOnce: async () => {
      await listHead();
    },
    setEnabled,
    stop: () => setEnabled(false),
  };
}
