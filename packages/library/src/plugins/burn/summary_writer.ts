/**
 * Writes a VM's counts to the store, one object per hour: an object per day
 * would exceed the store's limit of 1 MB with many services, and would be
 * rewritten often.
 */
import {
  BURN_HOUR_MS,
  type BurnSummary,
  burnKeyPrefixOfDay,
  burnSummarySchema,
} from '@ibisbeam/decision';
import {EitherAsync, Left} from 'purify-ts';
import type {
  ObjectVersion,
  PlatformError,
  PlatformObject,
  PlatformStore,
} from '../../core/platform/index.js';

const CALL_OPTIONS = {purpose: 'burn-summary'} as const;

export interface SummaryWriter {
  /** Writes the hours that may have changed since the last successful write. */
  write(summary: BurnSummary): Promise<PlatformError | undefined>;
}

export function createSummaryWriter(platform: PlatformStore): SummaryWriter {
  /** Last known version of each stored object, by key. */
  const versions = new Map<string, ObjectVersion>();
  /** Hours before this one are stored in their final form. */
  let completedBeforeMs = 0;

  async function write(
    summary: BurnSummary,
  ): Promise<PlatformError | undefined> {
    for (const [hourMs, ofHour] of splitByHour(summary)) {
      if (hourMs < completedBeforeMs) {
        continue;
      }
      const key = summaryKey(summary, hourMs);
      const written = await put(key, ofHour).run();
      if (written.isLeft()) {
        versions.delete(key);
        return written.extract() as PlatformError;
      }
      versions.set(key, (written.extract() as PlatformObject).version);
    }
    const currentMs = startOfHour(summary.countedToMs);
    if (currentMs > completedBeforeMs) {
      completedBeforeMs = currentMs;
      forgetOtherVersions(summaryKey(summary, currentMs));
    }
    return undefined;
  }

  function forgetOtherVersions(keptKey: string): void {
    for (const key of versions.keys()) {
      if (key !== keptKey) {
        versions.delete(key);
      }
    }
  }

  function put(
    key: string,
    value: BurnSummary,
  ): EitherAsync<PlatformError, PlatformObject> {
    const version = versions.get(key);
    const firstAttempt =
      version === undefined
        ? platform.create(key, value, CALL_OPTIONS)
        : platform.update(key, version, value, CALL_OPTIONS);
    return firstAttempt.chainLeft(error => {
      if (error.kind === 'conflict' && error.current) {
        // Only this task writes the key, so an earlier write succeeded although
        // its response was lost.
        return platform.update(key, error.current.version, value, CALL_OPTIONS);
      }
      return EitherAsync.liftEither(Left(error));
    });
  }

  return {write};
}

/**
 * The key contains `countedFromMs`, because a restarted task counts from zero
 * within the same incarnation.
 */
function summaryKey(
  {vm, incarnation, countedFromMs}: BurnSummary,
  hourMs: number,
): string {
  const hour = new Date(hourMs).toISOString().slice(11, 13);
  return `${burnKeyPrefixOfDay(hourMs)}${vm}/${incarnation}/${countedFromMs}/${hour}`;
}

function startOfHour(wallMs: number): number {
  return Math.floor(wallMs / BURN_HOUR_MS) * BURN_HOUR_MS;
}

/**
 * Always includes the current hour, even if empty: its object records the end
 * of the counted period.
 */
function splitByHour(summary: BurnSummary): ReadonlyMap<number, BurnSummary> {
  const hours = new Map<number, BurnSummary>();
  const empty = {...summary, hours: [], slices: []};
  for (const hour of summary.hours) {
    hours.set(hour.startMs, {...empty, hours: [hour]});
  }
  const currentMs = startOfHour(summary.countedToMs);
  if (!hours.has(currentMs)) {
    hours.set(currentMs, empty);
  }
  return new Map([...hours].sort(([one], [other]) => one - other));
}

/** @returns Undefined if the object is not a valid summary. */
export function parseBurnSummary(
  object: PlatformObject,
): BurnSummary | undefined {
  return burnSummarySchema.safeParse(object.value).data;
}
