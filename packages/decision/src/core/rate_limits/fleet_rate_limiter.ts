/**
 * Divides a request rate that a target takes from all VMs together among them,
 * without messages for single requests. The few VMs that rank first for the
 * target by rendezvous hashing may send to it, each at its part of the rate.
 * VMs in the target's region rank first, because they have requests for it and
 * VMs of other regions would leave the rate unused.
 */
import {rankByRendezvous} from '../hashing/index.js';

export interface LimitedTarget {
  readonly incarnation: string;
  readonly region: string;
}

export interface SharingVm {
  readonly id: string;
  readonly region: string;
}

/** `perSecond` is the rate that the target takes from all VMs together. */
export interface FleetRateLimiter {
  /** Whether this VM may send the target a request now; takes no token. */
  allows(target: LimitedTarget, perSecond: number, nowMs: number): boolean;
  /** Takes the token of a request sent to the target. */
  takeToken(target: LimitedTarget, perSecond: number, nowMs: number): void;
  /** @param vms The other VMs that share the rates. */
  setVms(vms: readonly SharingVm[]): void;
}

export interface FleetRateLimiterOptions {
  readonly self: SharingVm;
  /** Distinguishes the ranking from those of other limiters. */
  readonly name: string;
  /**
   * Fraction of the rate that the VMs use together. The remainder is reserved
   * for VMs with a different view of the fleet, and for bursts.
   */
  readonly usedRateFraction: number;
  /** Part of a VM in the target's region, compared to one in another region. */
  readonly sameRegionWeight: number;
  /** Number of VMs that may send to one target. */
  senderCount(perSecond: number): number;
}

const MAXIMUM_TRACKED_TARGETS = 2_000;

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

export function createFleetRateLimiter(
  options: FleetRateLimiterOptions,
): FleetRateLimiter {
  const {self, sameRegionWeight} = options;
  const buckets = new Map<string, Bucket>();
  const rateShares = new Map<string, number>();
  let vms: readonly SharingVm[] = [self];
  let vmIds = self.id;

  /** Fraction of the target's rate for this VM; 0 if it may not send. */
  function computeShare(
    {incarnation, region}: LimitedTarget,
    senderCount: number,
  ): number {
    const near = new Set<string>();
    const far = new Set<string>();
    for (const vm of vms) {
      (vm.region === region ? near : far).add(vm.id);
    }
    const name = `${options.name} ${incarnation}`;
    const senders = [
      ...rankByRendezvous(name, near),
      ...rankByRendezvous(name, far),
    ].slice(0, senderCount);
    if (!senders.includes(self.id)) {
      return 0;
    }
    let totalWeight = 0;
    for (const sender of senders) {
      totalWeight += near.has(sender) ? sameRegionWeight : 1;
    }
    const ownWeight = near.has(self.id) ? sameRegionWeight : 1;
    return ownWeight / totalWeight;
  }

  function rate(target: LimitedTarget, perSecond: number): number {
    const senderCount = options.senderCount(perSecond);
    const key = `${senderCount} ${target.incarnation}`;
    let share = rateShares.get(key);
    if (share === undefined) {
      share = computeShare(target, senderCount);
      if (rateShares.size >= MAXIMUM_TRACKED_TARGETS) {
        rateShares.clear();
      }
      rateShares.set(key, share);
    }
    return perSecond * options.usedRateFraction * share;
  }

  function bucketOf(
    target: LimitedTarget,
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
