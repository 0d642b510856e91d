/**
 * Limits the request rate of the whole fleet to a cold target (slow start)
 * without messages between VMs. Only the few VMs that rank first for the target
 * by rendezvous hashing may send to it, each at an equal part of half the
 * target's rate. The other half is reserved for VMs whose view of the fleet
 * differs. VMs in the target's region rank first, because they have requests
 * for it and VMs of other regions would leave the rate unused.
 */
import {rankByRendezvous} from '../hashing/index.js';

export interface ColdTarget {
  readonly incarnation: string;
  readonly region: string;
}

export interface ColdSender {
  readonly id: string;
  readonly region: string;
}

/** `perSecond` is the request rate that a target tolerates while it is cold. */
export interface ColdStartLimiter {
  /** Whether this VM may send the target a request now; takes no token. */
  allows(target: ColdTarget, perSecond: number, nowMs: number): boolean;
  /** Takes the token of a request sent to the target. */
  takeToken(target: ColdTarget, perSecond: number, nowMs: number): void;
  /** @param vms The other VMs believed to be alive. */
  setVms(vms: readonly ColdSender[]): void;
}

/** Number of VMs that may send to one cold target. */
const SENDERS_PER_TARGET = 3;
/** The remainder is reserved for VMs with a different view of the fleet. */
const USED_RATE_FRACTION = 0.5;
const MAXIMUM_TRACKED_TARGETS = 2_000;

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

export function createColdStartLimiter(self: ColdSender): ColdStartLimiter {
  const buckets = new Map<string, Bucket>();
  const rateShares = new Map<string, number>();
  let vms: readonly ColdSender[] = [self];
  let vmIds = self.id;

  function sendersOf({incarnation, region}: ColdTarget): readonly string[] {
    const near = new Set<string>();
    const far = new Set<string>();
    for (const vm of vms) {
      (vm.region === region ? near : far).add(vm.id);
    }
    const name = `cold ${incarnation}`;
    return [
      ...rankByRendezvous(name, near),
      ...rankByRendezvous(name, far),
    ].slice(0, SENDERS_PER_TARGET);
  }

  /** Fraction of the target's rate for this VM; 0 if it may not send. */
  function rateShareOf(target: ColdTarget): number {
    const known = rateShares.get(target.incarnation);
    if (known !== undefined) {
      return known;
    }
    const senders = sendersOf(target);
    const part = senders.includes(self.id) ? 1 / senders.length : 0;
    if (rateShares.size >= MAXIMUM_TRACKED_TARGETS) {
      rateShares.clear();
    }
    rateShares.set(target.incarnation, part);
    return part;
  }

  function rate(target: ColdTarget, perSecond: number): number {
    return perSecond * USED_RATE_FRACTION * rateShareOf(target);
  }

  function bucketOf(
    target: ColdTarget,
    perSecond: number,
    nowMs: number,
  ): Bucket {
    const {incarnation} = target;
    const known = buckets.get(incarnation);
    if (!known) {
      const bucket = {tokens: 1, filledAtMs: nowMs};
      if (buckets.size >= MAXIMUM_TRACKED_TARGETS) {
        buckets.clear();
      }
      buckets.set(incarnation, bucket);
      return bucket;
    }
    const passedSeconds = Math.max(0, nowMs - known.filledAtMs) / 1_000;
    const filled = known.tokens + passedSeconds * rate(target, perSecond);
    known.tokens = Math.min(1, filled);
    known.filledAtMs = nowMs;
    return known;
  }

  return {
    allows: (target, perSecond, nowMs) =>
      rate(target, perSecond) > 0 &&
      bucketOf(target, perSecond, nowMs).tokens >= 1,
    takeToken: (target, perSecond, nowMs) => {
      bucketOf(target, perSecond, nowMs).tokens -= 1;
    },
    setVms: others => {
      vms = [...others.filter(vm => vm.id !== self.id), self];
      const ids = vms
        .map(vm => vm.id)
        .sort()
        .join(' ');
      if (ids !== vmIds) {
        vmIds = ids;
        rateShares.clear();
      }
    },
  };
}
