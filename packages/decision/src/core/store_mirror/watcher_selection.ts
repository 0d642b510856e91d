/**
 * Selects the VMs that watch the store. The first VMs in the rendezvous order
 * always watch and forward changes to their peers. Any other VM starts to watch
 * when no peer's watch has been confirmed for its take-over delay. The delay
 * grows with the rank, so that the whole fleet does not replace a lost watcher
 * at once.
 */
import {rankByRendezvous} from '../hashing/index.js';

export interface WatcherSelectionOptions {
  readonly self: string;
  /** Number of VMs that always watch. */
  readonly watcherCount: number;
  /** Time without a confirmed watch after which the next VM takes over. */
  readonly takeoverDelayMs: number;
  /** Additional delay for each further rank. */
  readonly takeoverDelayPerRankMs: number;
}

/** Number of ranks that add to the delay; higher ranks wait no longer. */
const MAXIMUM_DELAYED_RANKS = 6;

export interface WatcherSelection {
  /** @param vms The live VMs; this one is added if it is missing. */
  setVms(vms: readonly string[]): void;
  /** Records that the store confirmed the watch of a peer at `atMs`. */
  recordPeerConfirmation(atMs: number): void;
  shouldWatch(nowMs: number): boolean;
  /** Whether this VM is the first of those that watch, as far as it knows. */
  isFirst(): boolean;
  /** Time of the last confirmation of a peer's watch; -Infinity if none. */
  lastPeerConfirmationMs(): number;
}

export function createWatcherSelection(
  options: WatcherSelectionOptions,
): WatcherSelection {
  let rank = 0;
  let lastConfirmationMs = -Infinity;

  function setVms(vms: readonly string[]): void {
    const all = new Set([...vms, options.self]);
    rank = rankByRendezvous('store-watch', all).indexOf(options.self);
  }

  function shouldWatch(nowMs: number): boolean {
    if (rank < options.watcherCount) {
      return true;
    }
    const ranksBehind = Math.min(
      rank - options.watcherCount,
      MAXIMUM_DELAYED_RANKS,
    );
    const takeoverDelayMs =
      options.takeoverDelayMs + ranksBehind * options.takeoverDelayPerRankMs;
    return nowMs - lastConfirmationMs > takeoverDelayMs;
  }

  return {
    setVms,
    recordPeerConfirmation: atMs => {
      lastConfirmationMs = Math.max(lastConfirmationMs, atMs);
    },
    shouldWatch,
    isFirst: () => rank === 0,
    lastPeerConfirmationMs: () => lastConfirmationMs,
  };
}
