/** Writes a VM's hourly counts to the store, one object for each day. */
import {
  type BurnSummary,
  burnDayPrefix,
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
  /** Version of each day's object, where it is known. */
  const versions = new Map<string, ObjectVersion>();
  /** Days up to which everything is stored, so that they are left alone. */
  let doneBefore = '';

  async function write(
    summary: BurnSummary,
  ): Promise<PlatformError | undefined> {
    for (const [prefix, ofDay] of splitByDay(summary)) {
      if (prefix < doneBefore) {
        continue;
      }
      const key = `${prefix}${lifeOf(summary)}`;
      const written = await put(key, ofDay).run();
      if (written.isLeft()) {
        versions.delete(key);
        return written.extract() as PlatformError;
      }
      versions.set(key, (written.extract() as PlatformObject).version);
    }
    doneBefore = burnDayPrefix(summary.countedToMs);
    return undefined;
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
function lifeOf({vm, incarnation, countedFromMs}: BurnSummary): string {
  return `${vm}/${incarnation}/${countedFromMs}`;
}

function splitByDay(summary: BurnSummary): ReadonlyMap<string, BurnSummary> {
  const days = new Map<string, BurnSummary>();
  const today = burnDayPrefix(summary.countedToMs);
  days.set(today, {...summary, hours: [], slices: []});
  for (const hour of summary.hours) {
    const prefix = burnDayPrefix(hour.startMs);
    const known = days.get(prefix) ?? {...summary, hours: [], slices: []};
    days.set(prefix, {...known, hours: [...known.hours, hour]});
  }
  return new Map([...days].sort());
}

/** Reads a stored summary; undefined when the object is not one. */
export function readSummary(object: PlatformObject): BurnSummary | undefined {
  return burnSummarySchema.safeParse(object.value).data;
}
