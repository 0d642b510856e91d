/**
 * Decides which VMs ask the store for changes themselves. A few VMs, the
 * first by rendezvous hashing, always do and pass on what they see; any other
 * VM steps in when it has heard of no fresh watch for a while, the earlier
 * the higher it ranks, so that a lost watcher is not replaced by the whole
 * fleet at once.
 */
import {rankByRendezvous} from '../hashing/index.js';

export interface WatcherSelectionOptions {
  readonly self: string;
  /** VMs that always watch. */
  readonly watcherCount: number;
  /** Silence of all other watchers after which the next VM steps in. */
  readonly takeoverDelayMs: number;
  /** Further patience for each rank after the watchers. */
  readonly takeoverDelayPerRankMs: number;
}

/** Ranks after which no further patience is added. */
const LAST_COUNTED_RANK = 6;

export interface WatcherSelection {
  /** @param vms All VMs thought to be alive, this one included or not. */
  setVms(vms: readonly string[]): void;
  /** A peer has said that its watch was confirmed by the store. */
  recordPeerConfirmation(atMs: number): void;
  shouldWatch(nowMs: number): boolean;
  /** When a peer's watch was last known to be confirmed. */
  lastPeerConfirmationMs(): number;
}

export function createWatcherSelection(
  options: WatcherSelectionOptions,
): WatcherSelection {
  let rank = 0;
  let lastFreshMs = -Infinity;

  function setVms(vms: readonly string[]): void {
    const all = new Set([...vms, options.self]);
    rank = rankByRendezvous('store-watch', all).indexOf(options.self);
  }

  function mustWatch(nowMs: number): boolean {
    if (rank < options.watcherCount) {
      return true;
    }
    const ranksBehind = Math.min(
      rank - options.watcherCount,
      LAST_COUNTED_RANK,
    );
    const patienceMs =
      options.takeoverDelayMs + ranksBehind * options.takeoverDelayPerRankMs;
    return nowMs - lastFreshMs > patienceMs;
  }

  return {
    setVms,
    recordPeerConfirmation: atMs => {
      lastFreshMs = Math.max(lastFreshMs, atMs);
    },
    shouldWatch: mustWatch,
    lastPeerConfirmationMs: () => lastFreshMs,
  };
}
