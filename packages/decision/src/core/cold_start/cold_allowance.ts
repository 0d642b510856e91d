/**
 * Holds the whole fleet to what a cold target stands without any message
 * between VMs: for each cold target a few VMs, the first by rendezvous
 * hashing, may send to it, and each keeps an equal part of half its rate.
 * The other half covers VMs that see another fleet.
 */
import {rankByRendezvous} from '../hashing/index.js';

export interface ColdAllowance {
  /** Whether this VM may send the target a request now; takes nothing. */
  allows(life: string, perSecond: number, nowMs: number): boolean;
  sent(life: string, perSecond: number, nowMs: number): void;
  setVms(vms: readonly string[]): void;
}

/** VMs that may send to one cold target. */
const SENDERS_PER_TARGET = 3;
const SHARE_OF_RATE = 0.5;
const MAXIMUM_BUCKETS = 2_000;

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

export function createColdAllowance(self: string): ColdAllowance {
  const buckets = new Map<string, Bucket>();
  let vms: readonly string[] = [self];

  function rate(life: string, perSecond: number): number {
    const senders = rankByRendezvous(`cold ${life}`, vms).slice(
      0,
      SENDERS_PER_TARGET,
    );
    if (!senders.includes(self)) {
      return 0;
    }
    return (perSecond * SHARE_OF_RATE) / senders.length;
  }

  function bucketOf(life: string, perSecond: number, nowMs: number): Bucket {
    const known = buckets.get(life);
    if (!known) {
      const bucket = {tokens: 1, filledAtMs: nowMs};
      if (buckets.size >= MAXIMUM_BUCKETS) {
        buckets.clear();
      }
      buckets.set(life, bucket);
      return bucket;
    }
    const passedSeconds = Math.max(0, nowMs - known.filledAtMs) / 1_000;
    const filled = known.tokens + passedSeconds * rate(life, perSecond);
    known.tokens = Math.min(1, filled);
    known.filledAtMs = nowMs;
    return known;
  }

  return {
    allows: (life, perSecond, nowMs) =>
      rate(life, perSecond) > 0 && bucketOf(life, perSecond, nowMs).tokens >= 1,
    sent: (life, perSecond, nowMs) => {
      bucketOf(life, perSecond, nowMs).tokens -= 1;
    },
    setVms: all => {
      vms = [...new Set([...all, self])];
    },
  };
}
