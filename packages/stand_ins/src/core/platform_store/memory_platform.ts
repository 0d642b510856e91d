/** In-memory platform store with fault injection. */
import type {
  ObjectVersion,
  PlatformCallOptions,
  PlatformChange,
  PlatformChanges,
  PlatformError,
  PlatformObject,
  PlatformStore,
  PlatformVm,
  PlatformWatchOptions,
  TimerService,
} from '@ibisbeam/library';
import {EitherAsync, Left, Right, type Either} from 'purify-ts';
import type {MemoryPlatform, PlatformFaults} from './types.js';

const MAXIMUM_VALUE_BYTES = 1_048_576;
const MAXIMUM_HISTORY_CHANGES = 10_000;
const RATE_WINDOW_MS = 1_000;

type CallResult<Value> = Either<PlatformError, Value>;

export function createMemoryPlatform(timers: TimerService): MemoryPlatform {
  const objects = new Map<string, PlatformObject>();
  let changes: PlatformChange[] = [];
  let version: ObjectVersion = 0;
  /** Oldest version from which a watch can resume. */
  let oldestResumable: ObjectVersion = 0;
  const waitingWatches = new Set<() => void>();
  const vms = new Map<string, PlatformVm>();
  const vmHistory: {
    readonly atMs: number;
    readonly vms: readonly PlatformVm[];
  }[] = [{atMs: timers.nowMs(), vms: []}];
  const counts = new Map<string, number>();
  let writes = 0;
  let windowStartMs = timers.nowMs();
  let callsInWindow = 0;

  const faults: PlatformFaults = {
    down: false,
    delayMs: 0,
    lostAnswers: 0,
    vmListLagMs: 0,
    callsPerSecond: Number.POSITIVE_INFINITY,
    invalidateWatches: () => {
      oldestResumable = version;
      changes = [];
      wakeWatches();
    },
  };

  function wakeWatches(): void {
    for (const wake of [...waitingWatches]) {
      wake();
    }
  }

  function record(change: PlatformChange): void {
    changes.push(change);
    if (changes.length > MAXIMUM_HISTORY_CHANGES) {
      const dropped = changes.shift()!;
      oldestResumable = versionOf(dropped);
    }
    writes += 1;
    wakeWatches();
  }

  /** Counts the call and applies the faults that prevent it from taking effect. */
  function admit(options: PlatformCallOptions): PlatformError | undefined {
    counts.set(options.purpose, (counts.get(options.purpose) ?? 0) + 1);
    if (faults.down) {
      return {kind: 'unavailable', cause: 'store is down'};
    }
    const nowMs = timers.nowMs();
    if (nowMs - windowStartMs >= RATE_WINDOW_MS) {
      windowStartMs = nowMs;
      callsInWindow = 0;
    }
    callsInWindow += 1;
    if (callsInWindow > faults.callsPerSecond) {
      const retryAfterMs = windowStartMs + RATE_WINDOW_MS - nowMs;
      return {kind: 'unavailable', cause: 'rate limit', retryAfterMs};
    }
    return undefined;
  }

  async function delay(): Promise<void> {
    if (faults.delayMs > 0) {
      await timers.sleep(faults.delayMs);
    }
  }

  function call<Value>(
    options: PlatformCallOptions,
    effect: () => CallResult<Value>,
    isWrite: boolean,
  ): EitherAsync<PlatformError, Value> {
    return EitherAsync(async ({throwE}) => {
      const refused = admit(options);
      if (refused) {
        await delay();
        return throwE(refused);
      }
      const result = effect();
      const lost = isWrite && result.isRight() && faults.lostAnswers > 0;
      if (lost) {
        faults.lostAnswers -= 1;
      }
      await delay();
      if (lost) {
        return throwE({kind: 'lost-answer', cause: 'the answer was lost'});
      }
      return result.caseOf({
        Left: error => throwE(error),
        Right: value => value,
      });
    });
  }

  function put(key: string, value: unknown): CallResult<PlatformObject> {
    const text = JSON.stringify(value);
    if (Buffer.byteLength(text) > MAXIMUM_VALUE_BYTES) {
      return Left({
        kind: 'rejected',
        cause: `the value is larger than ${MAXIMUM_VALUE_BYTES} bytes`,
      });
    }
    version += 1;
    const object = {key, version, value: JSON.parse(text) as unknown};
    objects.set(key, object);
    record({kind: 'put', object});
    return Right(object);
  }

  function update(
    key: string,
    expected: ObjectVersion,
    value: unknown,
  ): CallResult<PlatformObject> {
    const current = objects.get(key);
    if (!current || current.version !== expected) {
      return Left({kind: 'conflict', current});
    }
    return put(key, value);
  }

  function remove(key: string, expected: ObjectVersion): CallResult<void> {
    const current = objects.get(key);
    if (!current) {
      return Left({kind: 'not-found'});
    }
    if (current.version !== expected) {
      return Left({kind: 'conflict', current});
    }
    version += 1;
    objects.delete(key);
    record({kind: 'deleted', key, version});
    return Right(undefined);
  }

  function changesAfter(
    prefix: string,
    after: ObjectVersion,
  ): PlatformChange[] {
    const found: PlatformChange[] = [];
    for (const change of changes) {
      if (versionOf(change) > after && keyOf(change).startsWith(prefix)) {
        found.push(change);
      }
    }
    return found;
  }

  function waitForChange(options: PlatformWatchOptions): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        waitingWatches.delete(finish);
        timeout.cancel();
        options.signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timeout = timers.after(options.waitMs, finish);
      waitingWatches.add(finish);
      options.signal?.addEventListener('abort', finish);
    });
  }

  function watch(
    prefix: string,
    after: ObjectVersion,
    options: PlatformWatchOptions,
  ): EitherAsync<PlatformError, PlatformChanges> {
    return EitherAsync<PlatformError, PlatformChanges>(async ({throwE}) => {
      const refused = admit(options);
      if (refused) {
        return throwE(refused);
      }
      const endMs = timers.nowMs() + options.waitMs;
      for (;;) {
        if (after < oldestResumable) {
          return throwE({kind: 'watch-gap'});
        }
        const found = changesAfter(prefix, after);
        const leftMs = endMs - timers.nowMs();
        if (found.length > 0 || leftMs <= 0 || options.signal?.aborted) {
          await delay();
          return {changes: found, version};
        }
        await waitForChange({...options, waitMs: leftMs});
        if (faults.down) {
          return throwE({kind: 'unavailable', cause: 'store is down'});
        }
      }
    });
  }

  function list(prefix: string) {
    const found: PlatformObject[] = [];
    for (const object of objects.values()) {
      if (object.key.startsWith(prefix)) {
        found.push(object);
      }
    }
    found.sort((one, other) => (one.key < other.key ? -1 : 1));
    return {objects: found, version};
  }

  function recordVms(): void {
    vmHistory.push({atMs: timers.nowMs(), vms: [...vms.values()]});
  }

  function listedVms(): readonly PlatformVm[] {
    const atMs = timers.nowMs() - faults.vmListLagMs;
    let shown = vmHistory[0]!;
    for (const entry of vmHistory) {
      if (entry.atMs <= atMs) {
        shown = entry;
      }
    }
    return shown.vms;
  }

  const store: PlatformStore = {
    read: (key, options) =>
      call<PlatformObject>(
        options,
        () => {
          const object = objects.get(key);
          return object ? Right(object) : Left({kind: 'not-found'});
        },
        false,
      ),
    create: (key, value, options) =>
      call<PlatformObject>(
        options,
        () => {
          const current = objects.get(key);
          return current ? Left({kind: 'conflict', current}) : put(key, value);
        },
        true,
      ),
    update: (key, expected, value, options) =>
      call(options, () => update(key, expected, value), true),
    delete: (key, expected, options) =>
      call(options, () => remove(key, expected), true),
    list: (prefix, options) => call(options, () => Right(list(prefix)), false),
    watch,
    listVms: options => call(options, () => Right(listedVms()), false),
  };

  return {
    store,
    faults,
    setVm: vm => {
      vms.set(vm.vm, vm);
      recordVms();
    },
    removeVm: vm => {
      vms.delete(vm);
      recordVms();
    },
    callCounts: () => counts,
    writeCount: () => writes,
    objectCount: prefix => list(prefix).objects.length,
  };
}

function versionOf(change: PlatformChange): ObjectVersion {
  return change.kind === 'put' ? change.object.version : change.version;
}

function keyOf(change: PlatformChange): string {
  return change.kind === 'put' ? change.object.key : change.key;
}
