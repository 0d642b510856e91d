/**
 * Bandwidth budget for responses that this VM sends to VMs of other regions. A
 * link's usable rate is divided evenly among the VMs configured in the
 * sending region. Long responses reserve a rate; short ones take bytes from a
 * token bucket that the unreserved rate refills.
 */
import type {Configuration, RegionName, TrafficClass} from '../model/index.js';

export interface LinkBudgets {
  configure(configuration: Configuration): void;
  /**
   * Reserves bandwidth for a response.
   *
   * @returns Rate at which a long response may be sent; 0 for a short one,
   *     which is not paced. Undefined if the link has no capacity left.
   */
  reserve(
    to: RegionName,
    response: ExpectedResponse,
    nowMs: number,
  ): {readonly bytesPerSecond: number} | undefined;
  /** Frees the rate reserved for a long response that has ended. */
  release(to: RegionName, bytesPerSecond: number): void;
  /** Accounts for bytes of a response beyond those that were reserved. */
  debit(to: RegionName, bytes: number, nowMs: number): void;
}

export interface ExpectedResponse {
  readonly bytes: number;
  /** Time until the deadline of the request. */
  readonly remainingMs: number;
  readonly trafficClass: TrafficClass;
}

export interface LinkBudgetOptions {
  readonly region: RegionName;
}

interface LinkBudget {
  bytesPerSecond: number;
  reservedBytesPerSecond: number;
  /** Bytes that short responses may take; negative after a large debit. */
  tokens: number;
  filledAtMs: number;
}

/** Responses longer than this are long: they reserve a rate. */
const LONG_RESPONSE_BYTES = 65_536;
/** Fraction of the rate that long responses may reserve, by traffic class. */
const RESERVABLE_FRACTION: Readonly<Record<TrafficClass, number>> = {
  interactive: 0.9,
  transactional: 0.9,
  bulk: 0.8,
};
/** Fraction of the remaining time within which a long response must be sent. */
const USED_TIME_FRACTION = 0.5;
/** Capacity of the token bucket, as the time to fill it at the full rate. */
const BUCKET_MS = 200;
const MS_PER_SECOND = 1_000;
const BITS_PER_BYTE = 8;

export function createLinkBudgets(options: LinkBudgetOptions): LinkBudgets {
  const budgets = new Map<RegionName, LinkBudget>();

  function configure(configuration: Configuration): void {
    let vms = 0;
    for (const vm of configuration.entryVms.values()) {
      vms += vm.region === options.region ? 1 : 0;
    }
    for (const link of configuration.links) {
      if (link.from !== options.region) {
        continue;
      }
      const bytesPerSecond =
        (link.bitsPerSecond * link.usableFraction) /
        BITS_PER_BYTE /
        Math.max(1, vms);
      const known = budgets.get(link.to);
      if (known) {
        known.bytesPerSecond = bytesPerSecond;
        continue;
      }
      budgets.set(link.to, {
        bytesPerSecond,
        reservedBytesPerSecond: 0,
        tokens: (bytesPerSecond * BUCKET_MS) / MS_PER_SECOND,
        filledAtMs: -Infinity,
      });
    }
  }

  function fill(budget: LinkBudget, nowMs: number): void {
    const passedMs = Math.min(BUCKET_MS, nowMs - budget.filledAtMs);
    const rate = Math.max(
      0,
      budget.bytesPerSecond - budget.reservedBytesPerSecond,
    );
    const most = (budget.bytesPerSecond * BUCKET_MS) / MS_PER_SECOND;
    const filled = budget.tokens + (rate * passedMs) / MS_PER_SECOND;
    budget.tokens = Math.min(most, filled);
    budget.filledAtMs = nowMs;
  }

  function reserve(
    to: RegionName,
    response: ExpectedResponse,
    nowMs: number,
  ): {readonly bytesPerSecond: number} | undefined {
    const budget = budgets.get(to);
    if (!budget) {
      return {bytesPerSecond: 0};
    }
    fill(budget, nowMs);
    if (response.bytes <= LONG_RESPONSE_BYTES) {
      if (budget.tokens < response.bytes) {
        return undefined;
      }
      budget.tokens -= response.bytes;
      return {bytesPerSecond: 0};
    }
    return reserveRate(budget, response);
  }

  function reserveRate(
    budget: LinkBudget,
    response: ExpectedResponse,
  ): {readonly bytesPerSecond: number} | undefined {
    const reservable =
      RESERVABLE_FRACTION[response.trafficClass] * budget.bytesPerSecond;
    const free = reservable - budget.reservedBytesPerSecond;
    const usedMs = response.remainingMs * USED_TIME_FRACTION;
    const needed = (response.bytes * MS_PER_SECOND) / Math.max(1, usedMs);
    if (needed > free) {
      return undefined;
    }
    const bytesPerSecond = Math.ceil(Math.max(needed, free / 10));
    budget.reservedBytesPerSecond += bytesPerSecond;
    return {bytesPerSecond};
  }

  function release(to: RegionName, bytesPerSecond: number): void {
    const budget = budgets.get(to);
    if (budget) {
      budget.reservedBytesPerSecond = Math.max(
        0,
        budget.reservedBytesPerSecond - bytesPerSecond,
      );
    }
  }

  function debit(to: RegionName, bytes: number, nowMs: number): void {
    const budget = budgets.get(to);
    if (budget) {
      fill(budget, nowMs);
      budget.tokens -= bytes;
    }
  }

  return {configure, reserve, release, debit};
}
