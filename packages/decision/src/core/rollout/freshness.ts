/** What is known about how current the configuration in force is. */
import type {Generation} from '../model/index.js';
import type {FreshnessCause} from './rollout_types.js';

/**
 * Added to an age for each hop between VMs: the time that a message may have
 * waited in queues and on the way.
 */
export const HOP_DELAY_ALLOWANCE_MS = 500;

export interface Freshness {
  /** At `atMs`, the store's newest generation was this one. */
  confirm(generation: Generation, atMs: number): void;
  setInForce(generation: Generation): void;
  recordPeerMessage(atMs: number): void;
  newestHeard(): Generation | undefined;
  /** When the generation in force was last known to be the newest. */
  confirmedAtMs(): number | undefined;
  evaluate(nowMs: number): FreshnessCause;
}

export function createFreshness(staleAfterMs: number): Freshness {
  let inForce: Generation | undefined;
  let inForceSince: number | undefined;
  let newest: {generation: Generation; atMs: number} | undefined;
  let lastPeerMs: number | undefined;

  function confirm(generation: Generation, atMs: number): void {
    if (generation === inForce) {
      inForceSince = Math.max(inForceSince ?? atMs, atMs);
    }
    if (!newest || generation > newest.generation) {
      newest = {generation, atMs};
    } else if (generation === newest.generation) {
      newest.atMs = Math.max(newest.atMs, atMs);
    }
  }

  function accepted(generation: Generation): void {
    inForce = generation;
    inForceSince =
      newest?.generation === generation && Number.isFinite(newest.atMs)
        ? newest.atMs
        : undefined;
  }

  function judge(nowMs: number): FreshnessCause {
    if (inForce === undefined) {
      return 'starting';
    }
    if (inForceSince !== undefined && nowMs - inForceSince <= staleAfterMs) {
      return 'current';
    }
    if (lastPeerMs === undefined || nowMs - lastPeerMs > staleAfterMs) {
      return 'cut-off';
    }
    return newest && newest.generation > inForce ? 'behind' : 'store-away';
  }

  return {
    confirm,
    setInForce: accepted,
    recordPeerMessage: atMs => {
      lastPeerMs = Math.max(lastPeerMs ?? atMs, atMs);
    },
    newestHeard: () => newest?.generation,
    confirmedAtMs: () => inForceSince,
    evaluate: judge,
  };
}
