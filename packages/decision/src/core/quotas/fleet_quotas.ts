/**
 * Keeps the requests of each workspace within the quota that all VMs share,
 * without a message or a call for single requests. Each VM has a token bucket
 * for its share of the quota; shares follow demand (`quota_shares.ts`).
 *
 * Load pattern: one workspace sends several times its quota, at a few VMs or at
 * all, and its callers move between zones, while the others stay below theirs.
 */
import {hash32} from '../hashing/index.js';
import type {RequestQuota} from '../route_table/index.js';
import {
  type AnnouncedDemand,
  createAnnouncedDemand,
} from './announced_demand.js';
import {type DemandRate, createDemandRate} from './demand_rate.js';
import {
  type BucketSize,
  type QuotaTolerance,
  bucketSize,
  excessRequests,
} from './bucket_size.js';
import {type QuotaDemandReport, createQuotaShares} from './quota_shares.js';
import {
  type ReservedReturns,
  createReservedReturns,
} from './reserved_returns.js';

export type QuotaDecision =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'refused';
      /** Time after which an allowance is likely to be there. */
      readonly retryAfterMs: number;
      /** This VM's part of the quota, 0 to 1. */
      readonly share: number;
    };

export interface FleetQuotas {
  setQuotas(quotas: ReadonlyMap<string, RequestQuota>, nowMs: number): void;
  /**
   * Takes an allowance for a request of the workspace.
   *
   * @param isReturning Whether the caller comes back after a refusal.
   */
  admit(workspace: string, isReturning: boolean, nowMs: number): QuotaDecision;
  /** Gives the allowance of a request back that no target has run. */
  refund(workspace: string, nowMs: number): void;
  recordReport(vm: string, report: QuotaDemandReport): void;
  /**
   * @param others The other VMs that may be passing requests on, whether they
   *     answer or not.
   * @param heardCount Number of them that answer.
   */
  setVms(others: readonly string[], heardCount: number): void;
  /** Demand that was not announced yet; undefined if there is none. */
  takeNews(nowMs: number): QuotaDemandReport | undefined;
  /** All announced demand, for a VM that has just connected. */
  report(): QuotaDemandReport;
  /** Requests per second that this VM may pass on; undefined for no quota. */
  ownPerSecond(workspace: string, nowMs: number): number | undefined;
}

/** What this VM may pass on for a workspace at the moment. */
interface Allowance {
  readonly state: WorkspaceState;
  readonly share: number;
  /** Level of the bucket at which a request is admitted. */
  readonly neededTokens: number;
  /** Whether the bucket can hold no more, also not for those who return. */
  readonly isFull: boolean;
}

interface WorkspaceState {
  quota: RequestQuota;
  readonly demand: DemandRate;
  readonly announced: AnnouncedDemand;
  readonly returns: ReservedReturns;
  /** Infinite until the bucket is filled to its depth for the first time. */
  tokens: number;
  filledAtMs: number;
}

/** A fleet that asks for less of a quota is far from exceeding it. */
const CALM_DEMAND_FRACTION = 0.75;
/** Part of what a calm workspace leaves in a window that VMs may draw ahead. */
const OVERDRAFT_FRACTION = 0.8;
/** What a first request needs, where it may be sent ahead of the share. */
const FIRST_REQUEST_TOKENS = 0.5;
const FIRST_REQUESTS_PER_EXCESS_REQUEST = 1.2;
const UINT32_RANGE = 2 ** 32;
/**
 * Part of its share that a VM uses while it hears from a minority of the
 * others: they may be dividing the whole quota among themselves.
 */
const MINORITY_FACTOR = 0.5;
/** Told to callers for whom no time within the horizon is left. */
const LATEST_RETURN_MS = 2_000;
const RETURN_SPREAD_MS = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;

export interface FleetQuotasOptions {
  /** Identifier of this VM. */
  readonly self: string;
  /** Read anew for each request. */
  tolerance(): QuotaTolerance;
  /** Spreads the returns of callers, 0 to 1. */
  random(): number;
}

export function createFleetQuotas(options: FleetQuotasOptions): FleetQuotas {
  const states = new Map<string, WorkspaceState>();
  const shares = createQuotaShares();
  let isMinority = false;
  /**
   * A process that has just started does not know what the one before it has
   * used, so its buckets begin empty; those of quotas that are new begin full.
   */
  let hasQuotas = false;

  /** This VM's part of the quota, 0 to 1. */
  function shareOf(
    workspace: string,
    quota: RequestQuota,
    claimed: number,
  ): number {
    const share = shares.shareOf(workspace, quota.perSecond, claimed);
    return isMinority
      ? Math.min(share, 1 / shares.vmCount()) * MINORITY_FACTOR
      : share;
  }

  function bucketOf(quota: RequestQuota, share: number): BucketSize {
    return bucketSize(quota, share, shares.vmCount(), options.tolerance());
  }

  /**
   * Whether this VM may pass on the first request of a workspace ahead of its
   * share. In a fleet that is large for the quota, only some VMs may: first
   * requests at all of them together would exceed it.
   */
  function maySendFirst(workspace: string, quota: RequestQuota): boolean {
    const most =
      excessRequests(quota, options.tolerance()) *
      FIRST_REQUESTS_PER_EXCESS_REQUEST;
    const position = hash32(`first ${workspace} ${options.self}`);
    return position / UINT32_RANGE < most / shares.vmCount();
  }

  /**
   * How far the bucket may fall below what a request needs. While all VMs
   * together ask for clearly less than the quota, a few requests at one VM need
   * not wait for its share; they are made up for once the fleet asks for more.
   */
  function overdraft(
    workspace: string,
    {quota, demand}: WorkspaceState,
    nowMs: number,
  ): number {
    const {windowMs} = options.tolerance();
    const total = shares.totalPerSecond(
      workspace,
      quota.perSecond,
      demand.perSecond(nowMs),
    );
    if (isMinority || total > quota.perSecond * CALM_DEMAND_FRACTION) {
      return 0;
    }
    const unused =
      (quota.perSecond * (1 - CALM_DEMAND_FRACTION) * windowMs) /
      MILLISECONDS_PER_SECOND;
    return (unused * OVERDRAFT_FRACTION) / shares.vmCount();
  }

  /** Returns whether the bucket is full. */
  function fill(
    {state, share, neededTokens}: Omit<Allowance, 'isFull'>,
    nowMs: number,
  ): boolean {
    const {quota} = state;
    const {perSecond, depth} = bucketOf(quota, share);
    // Without a share, only a VM that may send first holds a request.
    const depthNow = neededTokens < 1 ? Math.max(neededTokens, depth) : depth;
    const passedMs = Math.max(0, nowMs - state.filledAtMs);
    const gained = (passedMs * perSecond) / MILLISECONDS_PER_SECOND;
    state.tokens = Math.min(depthNow, state.tokens + gained);
    state.filledAtMs = nowMs;
    return state.tokens >= depthNow;
  }

  /** Undefined if the workspace has no quota. */
  function allowanceOf(
    workspace: string,
    nowMs: number,
  ): Allowance | undefined {
    const state = states.get(workspace);
    if (!state) {
      return undefined;
    }
    const neededTokens = maySendFirst(workspace, state.quota)
      ? FIRST_REQUEST_TOKENS
      : 1;
    const claimed = state.announced.claimed(nowMs);
    const share = shareOf(workspace, state.quota, claimed);
    const allowance = {state, share, neededTokens};
    const isFull = fill(allowance, nowMs);
    return {...allowance, isFull};
  }

  function admit(
    workspace: string,
    isReturning: boolean,
    nowMs: number,
  ): QuotaDecision {
    const allowance = allowanceOf(workspace, nowMs);
    if (!allowance) {
      return {kind: 'admitted'};
    }
    const {state, share, neededTokens, isFull} = allowance;
    state.demand.record(nowMs);
    const hasReservation = isReturning && state.returns.redeem(nowMs);
    // Each refusal reserves one more return, whether the caller comes or not.
    const mayTakeReserved = hasReservation || isFull;
    const reserved = mayTakeReserved ? 0 : state.returns.due(nowMs);
    const least = neededTokens + reserved - overdraft(workspace, state, nowMs);
    if (state.tokens >= least) {
      state.tokens -= 1;
      return {kind: 'admitted'};
    }
    return {
      kind: 'refused',
      share,
      retryAfterMs: returnAfterMs(workspace, allowance, nowMs),
    };
  }

  /** By the share that this VM has once the others know of its demand. */
  function returnAfterMs(
    workspace: string,
    {state, share, neededTokens}: Allowance,
    nowMs: number,
  ): number {
    const {quota, tokens, returns, demand} = state;
    const laterShare = shareOf(workspace, quota, demand.perSecond(nowMs));
    const {perSecond} = bucketOf(quota, Math.max(share, laterShare));
    const intervalMs = MILLISECONDS_PER_SECOND / perSecond;
    const earliestMs = nowMs + Math.max(0, neededTokens - tokens) * intervalMs;
    const atMs = returns.reserve(earliestMs, intervalMs, nowMs);
    return atMs === undefined
      ? LATEST_RETURN_MS + options.random() * RETURN_SPREAD_MS
      : atMs - nowMs;
  }

  function setQuotas(
    quotas: ReadonlyMap<string, RequestQuota>,
    nowMs: number,
  ): void {
    for (const workspace of states.keys()) {
      if (!quotas.has(workspace)) {
        states.delete(workspace);
      }
    }
    for (const [workspace, quota] of quotas) {
      const known = states.get(workspace);
      if (known) {
        known.quota = quota;
        continue;
      }
      states.set(workspace, {
        quota,
        demand: createDemandRate(),
        announced: createAnnouncedDemand(),
        returns: createReservedReturns(),
        tokens: hasQuotas ? Infinity : 0,
        filledAtMs: nowMs,
      });
    }
    hasQuotas = true;
  }

  function takeNews(nowMs: number): QuotaDemandReport | undefined {
    // Most VMs would not hear of it, and not make room.
    if (isMinority) {
      return undefined;
    }
    const rates: [string, number][] = [];
    for (const [workspace, {quota, demand, announced}] of states) {
      const news = announced.takeNews(
        demand.perSecond(nowMs),
        shares.basePerSecond(quota.perSecond),
        nowMs,
      );
      if (news !== undefined) {
        rates.push([workspace, news]);
      }
    }
    return rates.length > 0 ? {whole: false, rates} : undefined;
  }

  function report(): QuotaDemandReport {
    const rates: [string, number][] = [];
    for (const [workspace, {announced}] of states) {
      if (announced.announced() > 0) {
        rates.push([workspace, announced.announced()]);
      }
    }
    return {whole: true, rates};
  }

  return {
    setQuotas,
    admit,
    refund: (workspace, nowMs) => {
      const allowance = allowanceOf(workspace, nowMs);
      if (allowance) {
        allowance.state.tokens += 1;
        fill(allowance, nowMs);
      }
    },
    recordReport: shares.recordReport,
    setVms: (others, heardCount) => {
      shares.setVms(others);
      isMinority = (heardCount + 1) * 2 <= others.length;
    },
    takeNews,
    report,
    ownPerSecond: (workspace, nowMs) => {
      const allowance = allowanceOf(workspace, nowMs);
      return (
        allowance && bucketOf(allowance.state.quota, allowance.share).perSecond
      );
    },
  };
}
