/**
 * Compares this VM's copies of the store's objects with those of its peers, and
 * asks for the copies that lack changes.
 */
import {type MissedChanges, createMissedChanges} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';
import {STORE_KINDS, type StoreFollower} from '../store/store_follower.js';
import type {CopyVersions, StoreKind} from './messages.js';

export interface CopyComparison {
  /** The next comparison with the peer is the first one over a new link. */
  recordNewLink(peerId: string): void;
  /** @param versions Versions of the peer's copies, from its heartbeat. */
  compare(peerId: string, versions: CopyVersions): void;
  /** Age of the oldest change that this VM lacks; 0 if it lacks none. */
  behindMs(): number;
}

export interface CopyComparisonOptions {
  readonly follower: Pick<StoreFollower, 'copyVersions'>;
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  requestSnapshot(peerId: string, kind: StoreKind): void;
}

interface ComparedKind {
  readonly kind: StoreKind;
  readonly missedChanges: MissedChanges;
  requestedAtMs: number;
  isLogged: boolean;
}

/** Peers state the same versions, and one snapshot is enough. */
const REQUEST_INTERVAL_MS = 300;

export function createCopyComparison(
  options: CopyComparisonOptions,
): CopyComparison {
  const {follower, timers, log} = options;
  const newLinks = new Set<string>();
  const comparedKinds: readonly ComparedKind[] = STORE_KINDS.map(kind => ({
    kind,
    missedChanges: createMissedChanges(),
    requestedAtMs: -Infinity,
    isLogged: false,
  }));

  function compareKind(
    compared: ComparedKind,
    peerId: string,
    peerVersion: number,
    isNewLink: boolean,
  ): void {
    const nowMs = timers.nowMs();
    const {kind, missedChanges} = compared;
    const ownVersion = follower.copyVersions()[kind] ?? -1;
    const lag = missedChanges.observe(peerVersion, ownVersion, nowMs);
    if (missedChanges.isCurrent()) {
      compared.isLogged = false;
    }
    // What was sent before the link existed does not arrive over it.
    if (lag === 'none' || (lag === 'delayed' && !isNewLink)) {
      return;
    }
    if (!compared.isLogged) {
      compared.isLogged = true;
      log.log('warn', 'copy-behind', {
        of: kind,
        version: ownVersion,
        peer: peerId,
        peerVersion,
        behindMs: Math.round(missedChanges.behindMs(nowMs)),
      });
    }
    if (nowMs - compared.requestedAtMs >= REQUEST_INTERVAL_MS) {
      compared.requestedAtMs = nowMs;
      options.requestSnapshot(peerId, kind);
    }
  }

  return {
    recordNewLink: peerId => {
      newLinks.add(peerId);
    },
    compare: (peerId, versions) => {
      const isNewLink = newLinks.delete(peerId);
      for (const compared of comparedKinds) {
        const peerVersion = versions[compared.kind];
        if (peerVersion !== undefined) {
          compareKind(compared, peerId, peerVersion, isNewLink);
        }
      }
    },
    behindMs: () => {
      const nowMs = timers.nowMs();
      let longestMs = 0;
      for (const {missedChanges} of comparedKinds) {
        longestMs = Math.max(longestMs, missedChanges.behindMs(nowMs));
      }
      return longestMs;
    },
  };
}
