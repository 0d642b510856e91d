/** Size of the token bucket that one VM has for its part of a quota. */
import type {RequestQuota} from '../route_table/index.js';

/** How far the fleet may exceed a quota for a short time. */
export interface QuotaTolerance {
  /** Span over which requests are counted. */
  readonly windowMs: number;
  /** Fraction of the requests that the quota allows in a window. */
  readonly excessRatio: number;
  /** Requests on top of the ratio, for the whole fleet. */
  readonly excessRequests: number;
}

export interface BucketSize {
  /** Requests a second that fill it. */
  readonly perSecond: number;
  /** Requests that it holds at most. */
  readonly depth: number;
}

/**
 * Parts of the excess that is tolerated: what all VMs may use on top of their
 * shares, and what makes their buckets deeper. The rest covers late messages.
 */
const BASE_EXCESS_FRACTION = 0.4;
const DEPTH_EXCESS_FRACTION = 0.55;
/** Depth of all buckets together, for quotas that are small for the fleet. */
const LEAST_DEPTH_FRACTION = 0.8;
/** Part of the depth that does not follow demand: callers change VMs. */
const EQUAL_DEPTH_FRACTION = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;

/** Requests beyond the quota that the fleet may pass on in a window. */
export function excessRequests(
  {perSecond, burst}: RequestQuota,
  tolerance: QuotaTolerance,
): number {
  const {windowMs} = tolerance;
  const inWindow = (perSecond * windowMs) / MILLISECONDS_PER_SECOND + burst;
  return inWindow * tolerance.excessRatio + tolerance.excessRequests;
}

/**
 * @param share The VM's part of the quota, 0 to 1.
 * @param vmCount Number of VMs that share the quota.
 */
export function bucketSize(
  quota: RequestQuota,
  share: number,
  vmCount: number,
  tolerance: QuotaTolerance,
): BucketSize {
  const excess = excessRequests(quota, tolerance);
  const basePerWindow = (excess * BASE_EXCESS_FRACTION) / vmCount;
  const whole = quota.burst + excess * DEPTH_EXCESS_FRACTION;
  const equalPart = EQUAL_DEPTH_FRACTION / vmCount;
  const least = (excess * LEAST_DEPTH_FRACTION) / vmCount;
  return {
    perSecond:
      quota.perSecond * share +
      (basePerWindow * MILLISECONDS_PER_SECOND) / tolerance.windowMs,
    depth: Math.max(
      least,
      whole * (equalPart + share * (1 - EQUAL_DEPTH_FRACTION)),
    ),
  };
}
