/** The rates of targets that are divided among the VMs. */
import {
  type FleetRateLimiter,
  type SharingVm,
  createFleetRateLimiter,
} from './fleet_rate_limiter.js';

const COLD_SENDERS = 3;
/** The other half is reserved for VMs whose view of the fleet differs. */
const COLD_RATE_FRACTION = 0.5;

/** For targets that tolerate only a low rate because they are cold. */
export function createColdStartLimiter(self: SharingVm): FleetRateLimiter {
  return createFleetRateLimiter({
    self,
    name: 'cold',
    usedRateFraction: COLD_RATE_FRACTION,
    sameRegionWeight: 1,
    senderCount: () => COLD_SENDERS,
  });
}

/** Each sender may begin with one request, beyond the rate. */
const STATED_RATE_FRACTION = 0.9;
const MINIMUM_STATED_SENDERS = 3;
/** Bounds the requests with which the senders may begin. */
const SENDERS_PER_REQUEST_PER_SECOND = 2;
/** Most requests for a target come from clients of its region. */
const STATED_SAME_REGION_WEIGHT = 6;
/**
 * Requests per second that are sent even to a target that states less, since
 * only its answers tell that it no longer needs to be spared.
 */
const MINIMUM_STATED_RATE = 0.25;

/** For targets that state a rate limit in their answers. */
export function createStatedRateLimiter(self: SharingVm): FleetRateLimiter {
  const limiter = createFleetRateLimiter({
    self,
    name: 'stated',
    usedRateFraction: STATED_RATE_FRACTION,
    sameRegionWeight: STATED_SAME_REGION_WEIGHT,
    senderCount: perSecond =>
      Math.max(
        MINIMUM_STATED_SENDERS,
        Math.floor(perSecond * SENDERS_PER_REQUEST_PER_SECOND),
      ),
  });
  return {
    ...limiter,
    allows: (target, perSecond, nowMs) =>
      limiter.allows(target, Math.max(MINIMUM_STATED_RATE, perSecond), nowMs),
    takeToken: (target, perSecond, nowMs) =>
      limiter.takeToken(
        target,
        Math.max(MINIMUM_STATED_RATE, perSecond),
        nowMs,
      ),
  };
}
