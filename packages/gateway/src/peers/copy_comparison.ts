/** Compares this VM's copies of the store's objects with those of its peers. */
import {type MissedChanges, createMissedChanges} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';
import {STORE_KINDS, type StoreFollower} from '../store/store_follower.js';
import type {CopyVersions, StoreKind} from './messages.js';

export interface CopyComparison {
  /** @param versions Versions of the peer's copies, from its heartbeat. */
  compare(peerId: string, versions: CopyVersions): void;
}

export interface CopyComparisonOptions {
  readonly follower: Pick<StoreFollower, 'copyVersions'>;
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
}

interface ComparedKind {
  readonly missedChanges: MissedChanges;
  isLogged: boolean;
}

export function createCopyComparison(
  options: CopyComparisonOptions,
): CopyComparison {
  const {follower, timers, log} = options;
  const comparedKinds = new Map<StoreKind, ComparedKind>();
  for (const kind of STORE_KINDS) {
    const missedChanges = createMissedChanges();
    comparedKinds.set(kind, {missedChanges, isLogged: false});
  }

  function compareKind(
    compared: ComparedKind,
    kind: StoreKind,
    peerId: string,
    peerVersion: number,
  ): void {
    const nowMs = timers.nowMs();
    const ownVersion = follower.copyVersions()[kind] ?? -1;
    const {missedChanges} = compared;
    const lag = missedChanges.observe(peerVersion, ownVersion, nowMs);
    const behindMs = missedChanges.behindMs(nowMs);
    if (behindMs === 0) {
      compared.isLogged = false;
    }
    if (lag === 'missed' && !compared.isLogged) {
      compared.isLogged = true;
      log.log('warn', 'copy-behind', {
        of: kind,
        version: ownVersion,
        peer: peerId,
        peerVersion,
        behindMs: Math.round(behindMs),
      });
    }
  }

  return {
    compare: (peerId, versions) => {
      for (const [kind, compared] of comparedKinds) {
        const peerVersion = versions[kind];
        if (peerVersion !== undefined) {
          compareKind(compared, kind, peerId, peerVersion);
        }
      }
    },
  };
}
