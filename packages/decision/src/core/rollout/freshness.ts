/** Tracks whether the configuration in force is known to be the newest. */
import type {Generation} from '../model/index.js';
import type {FreshnessCause} from './rollout_types.js';

/** Added to an age per hop between VMs for queueing and network delay. */
export const HOP_DELAY_ALLOWANCE_MS = 500;

export interface Freshness {
  /** Records that `generation` was the newest in the store at `atMs`. */
  confirm(generation: Generation, atMs: number): void;
  setInForce(generation: Generation): void;
  recordPeerMessage(atMs: number): void;
  /** Newest generation known from the store or peers. */
  newestHeard(): Generation | undefined;
  /** Last time at which the generation in force was known to be the newest. */
  confirmedAtMs(): number | undefined;
  evaluate(nowMs: number): FreshnessCause;
}

export function createFreshness(staleAfterMs: number): Freshness {
  let inForce: Generation | undefined;
  let inForceConfirmedAtMs: number | undefined;
  let newest: {generation: Generation; atMs: number} | undefined;
  let lastPeerMs: number | undefined;

  function confirm(generation: Generation, atMs: number): void {
    if (generation === inForce) {
      inForceConfirmedAtMs = Math.max(inForceConfirmedAtMs ?? atMs, atMs);
    }
    if (!newest || generation > newest.generation) {
      newest = {generation, atMs};
    } else if (generation === newest.generation) {
      newest.atMs = Math.max(newest.atMs, atMs);
    }
  }

  function setInForce(generation: Generation): void {
    inForce = generation;
    inForceConfirmedAtMs =
      newest?.generation === generation && Number.isFinite(newest.atMs)
        ? newest.atMs
        : undefined;
  }

  function evaluate(nowMs: number): FreshnessCause {
    if (inForce === undefined) {
      return 'starting';
    }
    if (
      inForceConfirmedAtMs !== undefined &&
      nowMs - inForceConfirmedAtMs <= staleAfterMs
    ) {
      return 'current';
    }
    if (lastPeerMs === undefined || nowMs - lastPeerMs > staleAfterMs) {
      return 'cut-off';
    }
    return newest && newest.generation > inForce ? 'behind' : 'store-away';
  }

  return {
    confirm,
    setInForce,
    recordPeerMessage: atMs => {
      lastPeerMs = Math.max(lastPeerMs ?? atMs, atMs);
    },
    newestHeard: () => newest?.generation,
    confirmedAtMs: () => inForceConfirmedAtMs,
    evaluate,
  };
}
