/**
 * Writes a VM's counts to the store, one object for each hour: a day of many
 * services would be over the store's megabyte, and would be rewritten often.
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
  /** Writes what changed since the last write that is known to have worked. */
  write(summary: BurnSummary): Promise<PlatformError | undefined>;
}

export function createSummaryWriter(platform: PlatformStore): SummaryWriter {
  /** Version of each hour's object, where it is known. */
  const versions = new Map<string, ObjectVersion>();
  /** Hours before this one are stored as they will stay. */
  let doneBeforeMs = 0;

  async function write(
    summary: BurnSummary,
  ): Promise<PlatformError | undefined> {
    for (const [hourMs, ofHour] of splitByHour(summary)) {
      if (hourMs < doneBeforeMs) {
        continue;
      }
      const key = keyOf(summary, hourMs);
      const written = await put(key, ofHour).run();
      if (written.isLeft()) {
        versions.delete(key);
        return written.extract() as PlatformError;
      }
      versions.set(key, (written.extract() as PlatformObject).version);
    }
    const currentMs = hourOf(summary.countedToMs);
    if (currentMs > doneBeforeMs) {
      doneBeforeMs = currentMs;
      forgetOthers(keyOf(summary, currentMs));
    }
    return undefined;
  }

  function forgetOthers(kept: string): void {
    for (const key of versions.keys()) {
      if (key !== kept) {
        versions.delete(key);
      }
    }
  }

  function put(
    key: string,
    value: BurnSummary,
  ): EitherAsync<PlatformError, PlatformObject> {
    const version = versions.get(key);
    const first =
      version === undefined
        ? platform.create(key, value, CALL_OPTIONS)
        : platform.update(key, version, value, CALL_OPTIONS);
    return first.chainLeft(error => {
      if (error.kind === 'conflict' && error.current) {
        // Nobody else writes this key: an answer of our own was lost.
        return platform.update(key, error.current.version, value, CALL_OPTIONS);
      }
      return EitherAsync.liftEither(Left(error));
    });
  }

  return {write};
}

/** A counting task that was restarted is a life of its own. */
function keyOf(
  {vm, incarnation, countedFromMs}: BurnSummary,
  hourMs: number,
): string {
  const hour = new Date(hourMs).toISOString().slice(11, 13);
  return `${burnKeyPrefixOfDay(hourMs)}${vm}/${incarnation}/${countedFromMs}/${hour}`;
}

function hourOf(wallMs: number): number {
  return Math.floor(wallMs / BURN_HOUR_MS) * BURN_HOUR_MS;
}

/** The current hour is always there: it tells up to when was counted. */
function splitByHour(summary: BurnSummary): ReadonlyMap<number, BurnSummary> {
  const hours = new Map<number, BurnSummary>();
  const empty = {...summary, hours: [], slices: []};
  for (const hour of summary.hours) {
    hours.set(hour.startMs, {...empty, hours: [hour]});
  }
  const currentMs = hourOf(summary.countedToMs);
  if (!hours.has(currentMs)) {
    hours.set(currentMs, empty);
  }
  return new Map([...hours].sort(([one], [other]) => one - other));
}

/** Reads a stored summary; undefined when the object is not one. */
export function readSummary(object: PlatformObject): BurnSummary | undefined {
  return burnSummarySchema.safeParse(object.value).data;
}
