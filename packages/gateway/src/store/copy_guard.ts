/**
 * Keeps a VM from acting on copies of the store that may be outdated. A VM that
 * has just started or resumed asks the store and all peers, and requests wait
 * until one of them has confirmed the copies. A VM that is cut off from the
 * store and most peers refuses requests.
 */
import {
  type Contacts,
  type CopyState,
  createCopyFreshness,
  createIsolationDetector,
} from '@ibisbeam/decision';
import type {Logger, TimerHandle, TimerService} from '@ibisbeam/library';
import type {CopyVersions, PeerMessage} from '../peers/messages.js';
import {STORE_KINDS, type StoreFollower} from './store_follower.js';

/** `isolated`: changes of the store may not reach this VM. */
export type GuardState = CopyState | 'isolated';

export interface CopyGuard {
  start(): void;
  stop(): void;
  /** Judges whether changes of the store still reach this VM. */
  observeContacts(contacts: Contacts): void;
  /** Detects a pause of the process; also called by `state` and `whenUsable`. */
  checkPause(): void;
  state(): GuardState;
  /**
   * Calls back once the copies may be acted on, at once if they may be now. The
   * callback gets false after a limited wait, and at once at an isolated VM.
   */
  whenUsable(callback: (isUsable: boolean) => void): void;
  onPeerConnected(peerId: string): void;
  onQuestion(
    peerId: string,
    message: Extract<PeerMessage, {kind: 'confirm-copies'}>,
  ): void;
  onAnswer(
    peerId: string,
    message: Extract<PeerMessage, {kind: 'copies-confirmed'}>,
  ): void;
}

export interface CopyGuardOptions {
  readonly follower: Pick<
    StoreFollower,
    'copyVersions' | 'listAll' | 'isComplete'
  >;
  readonly timers: TimerService;
  readonly log: Logger;
  send(peerId: string, message: PeerMessage): void;
  broadcast(message: PeerMessage): void;
}

interface WaitingCall {
  readonly callback: (isUsable: boolean) => void;
  readonly timer: TimerHandle;
}

const CHECK_INTERVAL_MS = 100;
const REPEAT_INTERVAL_MS = 700;
/** A process that did not run for longer doubts its copies. */
const PAUSE_MS = 1_000;
/** A caller that waits for longer is better served by another VM. */
const MAXIMUM_WAIT_MS = 600;

export function createCopyGuard(options: CopyGuardOptions): CopyGuard {
  const {follower, timers, log} = options;
  let lastRunMs = timers.nowMs();
  let lastRunWallMs = timers.wallMs();
  let lastAskedMs = -Infinity;
  /** Lists under way. */
  let listings = 0;
  const freshness = createCopyFreshness(lastRunMs);
  const isolation = createIsolationDetector(lastRunMs);
  const waiting = new Set<WaitingCall>();
  let ticker: TimerHandle | undefined;

  function checkPause(): void {
    const nowMs = timers.nowMs();
    const wallMs = timers.wallMs();
    // The monotonic clock stands still while the machine is suspended. The time of
    // day may have been set instead, which costs no more than a question.
    const pausedMs = Math.max(nowMs - lastRunMs, wallMs - lastRunWallMs);
    lastRunMs = nowMs;
    lastRunWallMs = wallMs;
    if (pausedMs < PAUSE_MS) {
      return;
    }
    freshness.recordPause(nowMs);
    isolation.recordPause(nowMs);
    log.log('warn', 'copies-unconfirmed', {pausedMs: Math.round(pausedMs)});
    ask();
  }

  function ask(): void {
    const askedAtMs = timers.nowMs();
    lastAskedMs = askedAtMs;
    options.broadcast(question());
    listings += 1;
    void follower.listAll(askedAtMs).then(isListed => {
      listings -= 1;
      if (isListed) {
        confirm(askedAtMs, 'store');
      }
    });
  }

  function onCheckDue(): void {
    const isOverdue = timers.nowMs() - lastAskedMs >= REPEAT_INTERVAL_MS;
    if (state() !== 'unconfirmed' || !isOverdue) {
      return;
    }
    // A list of many pages takes longer than the interval.
    if (listings === 0) {
      ask();
      return;
    }
    lastAskedMs = timers.nowMs();
    options.broadcast(question());
  }

  function question(): PeerMessage {
    return {kind: 'confirm-copies', askedAtMs: timers.nowMs()};
  }

  function confirm(askedAtMs: number, from: string): void {
    const before = freshness.state(timers.nowMs());
    freshness.recordConfirmation(askedAtMs);
    if (before === 'unconfirmed' && state() === 'confirmed') {
      log.log('info', 'copies-confirmed', {
        from,
        tookMs: Math.round(timers.nowMs() - askedAtMs),
      });
      releaseWaiting();
    }
  }

  function state(): GuardState {
    checkPause();
    if (isolation.isIsolated()) {
      return 'isolated';
    }
    return freshness.state(timers.nowMs());
  }

  function observeContacts(contacts: Contacts): void {
    checkPause();
    const wasIsolated = isolation.isIsolated();
    isolation.observe(contacts, timers.nowMs());
    if (isolation.isIsolated() === wasIsolated) {
      return;
    }
    log.log('warn', wasIsolated ? 'vm-reconnected' : 'vm-isolated', {
      heard: contacts.heardPeers,
      recent: contacts.recentPeers,
      confirmedMs: Math.round(timers.nowMs() - contacts.confirmedAtMs),
    });
    if (wasIsolated) {
      freshness.recordPause(timers.nowMs());
      ask();
    }
  }

  function releaseWaiting(): void {
    for (const call of waiting) {
      waiting.delete(call);
      call.timer.cancel();
      call.callback(true);
    }
  }

  function whenUsable(callback: (isUsable: boolean) => void): void {
    const now = state();
    if (now !== 'unconfirmed') {
      callback(now === 'confirmed');
      return;
    }
    const call: WaitingCall = {
      callback,
      timer: timers.after(MAXIMUM_WAIT_MS, () => {
        waiting.delete(call);
        callback(state() === 'confirmed');
      }),
    };
    waiting.add(call);
  }

  return {
    start: () => {
      lastRunMs = timers.nowMs();
      lastRunWallMs = timers.wallMs();
      ticker = timers.every(CHECK_INTERVAL_MS, onCheckDue);
      ask();
    },
    stop: () => {
      ticker?.cancel();
    },
    observeContacts,
    checkPause,
    state,
    whenUsable,
    onPeerConnected: peerId => {
      if (state() === 'unconfirmed') {
        options.send(peerId, question());
      }
    },
    onQuestion: (peerId, {askedAtMs}) => {
      const isSure = freshness.isConfirmed() && follower.isComplete();
      if (state() === 'confirmed' && isSure) {
        const copyVersions = follower.copyVersions();
        options.send(peerId, {
          kind: 'copies-confirmed',
          askedAtMs,
          copyVersions,
        });
      }
    },
    onAnswer: (peerId, {askedAtMs, copyVersions}) => {
      const outdated = olderKinds(follower.copyVersions(), copyVersions);
      if (outdated.length === 0) {
        confirm(askedAtMs, peerId);
        return;
      }
      if (state() === 'confirmed') {
        return;
      }
      for (const kind of outdated) {
        options.send(peerId, {kind: 'want-snapshot', of: kind});
      }
      // Answered after the snapshots, which are sent over the same link.
      options.send(peerId, question());
    },
  };
}

/** Kinds of which the first copies are older than the others. */
function olderKinds(
  own: CopyVersions,
  others: CopyVersions,
): readonly (typeof STORE_KINDS)[number][] {
  return STORE_KINDS.filter(kind => (own[kind] ?? -1) < (others[kind] ?? -1));
}
