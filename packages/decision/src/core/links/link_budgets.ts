/**
 * Budget of bytes for the answers that this VM sends to VMs of other regions.
 * A link's usable rate is divided evenly among the VMs configured in the
 * sending region. Long answers reserve a rate; short ones take from a bucket
 * that the rest of the rate fills.
 */
import type {Configuration, RegionName, TrafficClass} from '../model/index.js';

export interface LinkBudgets {
  configure(configuration: Configuration): void;
  /**
   * Asks for room for an answer; `undefined` if there is none.
   *
   * @returns Bytes a second at which a long answer may flow; 0 for a short
   *     one, which needs no pace.
   */
  reserve(
    to: RegionName,
    answer: ExpectedAnswer,
    nowMs: number,
  ): {readonly bytesPerSecond: number} | undefined;
  release(to: RegionName, bytesPerSecond: number): void;
  /** An answer turned out to have so many bytes more than was asked for. */
  debit(to: RegionName, bytes: number, nowMs: number): void;
}

export interface ExpectedAnswer {
  readonly bytes: number;
  readonly remainingMs: number;
  readonly trafficClass: TrafficClass;
}

export interface LinkBudgetOptions {
  readonly region: RegionName;
}

interface LinkBudget {
  bytesPerSecond: number;
  reserved: number;
  tokens: number;
  filledAtMs: number;
}

/** Longer answers reserve a rate. */
const LONG_ANSWER_BYTES = 65_536;
/** Part of the rate that long answers may reserve, by class. */
const RESERVABLE_FRACTION: Readonly<Record<TrafficClass, number>> = {
  interactive: 0.9,
  transactional: 0.9,
  bulk: 0.8,
};
/** Part of the remaining time in which a long answer has to be through. */
const USED_TIME_FRACTION = 0.5;
/** The bucket holds what flows in this time. */
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
        reserved: 0,
        tokens: (bytesPerSecond * BUCKET_MS) / MS_PER_SECOND,
        filledAtMs: -Infinity,
      });
    }
  }

  function fill(budget: LinkBudget, nowMs: number): void {
    const passedMs = Math.min(BUCKET_MS, nowMs - budget.filledAtMs);
    const rate = Math.max(0, budget.bytesPerSecond - budget.reserved);
    const most = (budget.bytesPerSecond * BUCKET_MS) / MS_PER_SECOND;
    const filled = budget.tokens + (rate * passedMs) / MS_PER_SECOND;
    budget.tokens = Math.min(most, filled);
    budget.filledAtMs = nowMs;
  }

  function reserve(
    to: RegionName,
    answer: ExpectedAnswer,
    nowMs: number,
  ): {readonly bytesPerSecond: number} | undefined {
    const budget = budgets.get(to);
    if (!budget) {
      return {bytesPerSecond: 0};
    }
    fill(budget, nowMs);
    if (answer.bytes <= LONG_ANSWER_BYTES) {
      if (budget.tokens < answer.bytes) {
        return undefined;
      }
      budget.tokens -= answer.bytes;
      return {bytesPerSecond: 0};
    }
    return reserveRate(budget, answer);
  }

  function reserveRate(
    budget: LinkBudget,
    answer: ExpectedAnswer,
  ): {readonly bytesPerSecond: number} | undefined {
    const reservable =
      RESERVABLE_FRACTION[answer.trafficClass] * budget.bytesPerSecond;
    const free = reservable - budget.reserved;
    const usedMs = answer.remainingMs * USED_TIME_FRACTION;
    const needed = (answer.bytes * MS_PER_SECOND) / Math.max(1, usedMs);
    if (needed > free) {
      return undefined;
    }
    const bytesPerSecond = Math.ceil(Math.max(needed, free / 10));
    budget.reserved += bytesPerSecond;
    return {bytesPerSecond};
  }

  function release(to: RegionName, bytesPerSecond: number): void {
    const budget = budgets.get(to);
    if (budget) {
      budget.reserved = Math.max(0, budget.reserved - bytesPerSecond);
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
