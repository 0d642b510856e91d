/**
 * Decides which heartbeats state the versions of this VM's copies. A peer that
 * lacks a change finds out from the heartbeats that follow it; a peer that gets
 * a link is told at once.
 */
import type {TimerService} from '@ibisbeam/library';
import {STORE_KINDS, type StoreFollower} from '../store/store_follower.js';
import type {CopyVersions} from './messages.js';

export interface CopyAnnouncements {
  /** Versions to state in the next heartbeat; undefined if they are not due. */
  take(): CopyVersions | undefined;
}

/** Several heartbeats: one alone may find the change still on its way. */
const ANNOUNCED_AFTER_CHANGE_MS = 1_500;
/** For a peer that did not read its links after a change. */
const ANNOUNCEMENT_INTERVAL_MS = 2_000;

export function createCopyAnnouncements(
  follower: Pick<StoreFollower, 'copyVersions'>,
  timers: Pick<TimerService, 'nowMs'>,
): CopyAnnouncements {
  let known: CopyVersions = {};
  let changedAtMs = -Infinity;
  let announcedAtMs = -Infinity;

  return {
    take: () => {
      const nowMs = timers.nowMs();
      const versions = follower.copyVersions();
      if (STORE_KINDS.some(kind => versions[kind] !== known[kind])) {
        known = versions;
        changedAtMs = nowMs;
      }
      const isRecent = nowMs - changedAtMs < ANNOUNCED_AFTER_CHANGE_MS;
      const isDue = nowMs - announcedAtMs >= ANNOUNCEMENT_INTERVAL_MS;
      if (!isRecent && !isDue) {
        return undefined;
      }
      announcedAtMs = nowMs;
      return versions;
    },
  };
}
