/** Keeps one watch on the head of the configuration in the store. */
import {
  CONFIGURATION_HEAD_KEY,
  type ConfigurationHead,
  type RandomSource,
} from '@ibisbeam/decision';
import {parseHead} from '../../core/configuration/index.js';
import type {
  ObjectVersion,
  PlatformObject,
  PlatformStore,
} from '../../core/platform/index.js';
import type {TimerService} from '../../core/timers/index.js';

const FIRST_BACKOFF_MS = 250;
const LONGEST_BACKOFF_MS = 15_000;

export interface HeadWatchOptions {
  readonly platform: PlatformStore;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly waitMs: number;
  readonly onHead: (
    head: ConfigurationHead | undefined,
    askedAtMs: number,
  ) => void;
  readonly onFailed: (cause: string) => void;
  readonly onGap: () => void;
}

export interface HeadWatch {
  /** Resolves when the answer, if any, has been handed on. */
  readOnce(): Promise<void>;
  setEnabled(enabled: boolean): void;
  stop(): void;
}

export function createHeadWatch(options: HeadWatchOptions): HeadWatch {
  const {platform, timers, random} = options;
  let running: AbortController | undefined;
  let known: ConfigurationHead | undefined;

  /** @returns The version to watch from, unless the read failed. */
  async function list(): Promise<ObjectVersion | undefined> {
    const askedAtMs = timers.nowMs();
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
    takeHead(head, askedAtMs);
    return version;
  }

  function takeHead(
    object: PlatformObject | undefined,
    askedAtMs: number,
  ): void {
    if (!object) {
      options.onHead(undefined, askedAtMs);
      return;
    }
    parseHead(object)
      .ifRight(head => {
        known = head;
        options.onHead(head, askedAtMs);
      })
      .ifLeft(problem => options.onFailed(problem.kind));
  }

  /** @returns The version to go on from; nothing where a list is needed. */
  async function watchOnce(
    after: ObjectVersion,
    signal: AbortSignal,
  ): Promise<ObjectVersion | undefined> {
    const askedAtMs = timers.nowMs();
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
      options.onGap();
      return undefined;
    }
    if (error) {
      options.onFailed(error.kind);
      return undefined;
    }
    const {changes, version} = watched.unsafeCoerce();
    const change = changes.at(-1);
    // Without a change the head known is still the newest one, as of now.
    if (change?.kind === 'put') {
      takeHead(change.object, askedAtMs);
    } else if (known) {
      options.onHead(known, askedAtMs);
    }
    return version;
  }

  async function run(signal: AbortSignal): Promise<void> {
    let version: ObjectVersion | undefined;
    let backoffMs = FIRST_BACKOFF_MS;
    while (!signal.aborted) {
      const gone = version === undefined;
      version = gone ? await list() : await watchOnce(version!, signal);
      if (version !== undefined) {
        backoffMs = FIRST_BACKOFF_MS;
        continue;
      }
      await timers.sleep(backoffMs * (0.5 + random.next()));
      backoffMs = Math.min(backoffMs * 2, LONGEST_BACKOFF_MS);
    }
  }

  function setEnabled(enabled: boolean): void {
    if (enabled === (running !== undefined)) {
      return;
    }
    running?.abort();
    running = undefined;
    if (enabled) {
      running = new AbortController();
      void run(running.signal);
    }
  }

  return {
    readOnce: async () => {
      await list();
    },
    setEnabled,
    stop: () => setEnabled(false),
  };
}
