/**
 * Notices that the store has come back from an older copy, which begins a new
 * era, and logs when every mirrored kind has been taken from it.
 */
import {storeEraOf, storeRevisionOf} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';

export interface RestoreProgress {
  /**
   * Called before a snapshot is applied to the mirror of a kind.
   *
   * @param mirrorVersion Negative for an empty mirror.
   */
  onSnapshot(mirrorVersion: number, snapshotVersion: number): void;
  /** @param mirrorVersions Versions of the mirrors of all kinds. */
  onApplied(mirrorVersions: Iterable<number>): void;
  /** How long the last restore took; undefined before its end. */
  tookMs(): number | undefined;
}

export interface RestoreProgressOptions {
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  /** Called once an era. */
  onRestored(): void;
}

interface Restore {
  readonly fromVersion: number;
  readonly toVersion: number;
  readonly beganAtMs: number;
  tookMs?: number;
}

export function createRestoreProgress(
  options: RestoreProgressOptions,
): RestoreProgress {
  const {timers, log} = options;
  let restore: Restore | undefined;

  function onSnapshot(mirrorVersion: number, snapshotVersion: number): void {
    const era = storeEraOf(snapshotVersion);
    const isNewEra = mirrorVersion >= 0 && era > storeEraOf(mirrorVersion);
    // The mirror of another kind may have seen this era before.
    if (!isNewEra || (restore && storeEraOf(restore.toVersion) >= era)) {
      return;
    }
    restore = {
      fromVersion: mirrorVersion,
      toVersion: snapshotVersion,
      beganAtMs: timers.nowMs(),
    };
    options.onRestored();
  }

  function onApplied(mirrorVersions: Iterable<number>): void {
    if (!restore || restore.tookMs !== undefined) {
      return;
    }
    const era = storeEraOf(restore.toVersion);
    for (const version of mirrorVersions) {
      if (storeEraOf(version) < era) {
        return;
      }
    }
    restore.tookMs = timers.nowMs() - restore.beganAtMs;
    log.log('warn', 'store-restored', {
      era,
      eraBefore: storeEraOf(restore.fromVersion),
      revision: storeRevisionOf(restore.toVersion),
      revisionBefore: storeRevisionOf(restore.fromVersion),
      tookMs: Math.round(restore.tookMs),
    });
  }

  return {onSnapshot, onApplied, tookMs: () => restore?.tookMs};
}
