/**
 * Decides which VMs ask the store for changes themselves. A few VMs, the
 * first by rendezvous hashing, always do and pass on what they see; any other
 * VM steps in when it has heard of no fresh watch for a while, the earlier
 * the higher it ranks, so that a lost watcher is not replaced by the whole
 * fleet at once.
 */
import {rankByRendezvous} from '../hashing/index.js';

export interface WatchDutyOptions {
  readonly self: string;
  /** VMs that always watch. */
  readonly watchers: number;
  /** Silence of all other watchers after which the next VM steps in. */
  readonly patienceMs: number;
  /** Further patience for each rank after the watchers. */
  readonly patiencePerRankMs: number;
}

/** Ranks after which no further patience is added. */
const LAST_COUNTED_RANK = 6;

export interface WatchDuty {
  /** @param vms All VMs thought to be alive, this one included or not. */
  setVms(vms: readonly string[]): void;
  /** A peer has said that its watch was confirmed by the store. */
  heardFresh(atMs: number): void;
  mustWatch(nowMs: number): boolean;
  /** When a peer's watch was last known to be confirmed. */
  lastFreshMs(): number;
}

export function createWatchDuty(options: WatchDutyOptions): WatchDuty {
  let rank = 0;
  let lastFreshMs = -Infinity;

  function setVms(vms: readonly string[]): void {
    const all = new Set([...vms, options.self]);
    rank = rankByRendezvous('store-watch', all).indexOf(options.self);
  }

  function mustWatch(nowMs: number): boolean {
    if (rank < options.watchers) {
      return true;
    }
    const ranksBehind = Math.min(rank - options.watchers, LAST_COUNTED_RANK);
    const patienceMs =
      options.patienceMs + ranksBehind * options.patiencePerRankMs;
    return nowMs - lastFreshMs > patienceMs;
  }

  return {
    setVms,
    heardFresh: atMs => {
      lastFreshMs = Math.max(lastFreshMs, atMs);
    },
    mustWatch,
    lastFreshMs: () => lastFreshMs,
  };
}
