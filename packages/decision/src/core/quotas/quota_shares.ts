/**
 * Divides the quota of a workspace among the VMs by the demand that each has
 * announced. VMs without an announced demand count with a small base, so that
 * the first request at a VM needs no message.
 *
 * The sum of all shares stays within the quota because a VM that is silent
 * keeps its part until it is gone for certain: it may still be serving callers.
 */

/** What one VM tells of its demand, in requests per second by workspace. */
export interface QuotaDemandReport {
  /** Whether workspaces that are not named have no demand; else unchanged. */
  readonly whole: boolean;
  readonly rates: readonly (readonly [workspace: string, perSecond: number])[];
}

export interface QuotaShares {
  recordReport(vm: string, report: QuotaDemandReport): void;
  /** @param others The other VMs that may be passing requests on. */
  setVms(others: readonly string[]): void;
  vmCount(): number;
  /** Demand below which a VM of this quota counts with the base. */
  basePerSecond(quotaPerSecond: number): number;
  /** Demand of all VMs together, in requests per second. */
  totalPerSecond(
    workspace: string,
    quotaPerSecond: number,
    ownPerSecond: number,
  ): number;
  /**
   * Returns this VM's part of the quota, 0 to 1.
   *
   * @param ownPerSecond Demand that this VM may claim a share for.
   */
  shareOf(
    workspace: string,
    quotaPerSecond: number,
    ownPerSecond: number,
  ): number;
}

/** Part of a quota that VMs without announced demand would share. */
const BASE_FRACTION = 0.1;
/** Part of what nobody has asked for that does not follow demand. */
const EQUAL_SPARE_FRACTION = 0.5;

export function createQuotaShares(): QuotaShares {
  const demandByVm = new Map<string, Map<string, number>>();
  let others: readonly string[] = [];

  function basePerSecond(quotaPerSecond: number): number {
    return (quotaPerSecond * BASE_FRACTION) / (others.length + 1);
  }

  function totalPerSecond(
    workspace: string,
    quotaPerSecond: number,
    ownPerSecond: number,
  ): number {
    const base = basePerSecond(quotaPerSecond);
    let total = Math.max(base, ownPerSecond);
    for (const vm of others) {
      const demand = demandByVm.get(vm)?.get(workspace) ?? 0;
      total += Math.max(base, demand);
    }
    return total;
  }

  return {
    recordReport: (vm, {whole, rates}) => {
      const known = demandByVm.get(vm);
      const demand = known && !whole ? known : new Map<string, number>();
      for (const [workspace, perSecond] of rates) {
        demand.set(workspace, perSecond);
      }
      demandByVm.set(vm, demand);
    },
    setVms: next => {
      others = next;
      const counted = new Set(next);
      for (const vm of demandByVm.keys()) {
        if (!counted.has(vm)) {
          demandByVm.delete(vm);
        }
      }
    },
    vmCount: () => others.length + 1,
    basePerSecond,
    totalPerSecond,
    shareOf: (workspace, quotaPerSecond, ownPerSecond) => {
      const own = Math.max(basePerSecond(quotaPerSecond), ownPerSecond);
      const total = totalPerSecond(workspace, quotaPerSecond, ownPerSecond);
      if (total >= quotaPerSecond) {
        return own / total;
      }
      const spare = quotaPerSecond - total;
      const equalPart = (spare * EQUAL_SPARE_FRACTION) / (others.length + 1);
      const byDemand = spare * (1 - EQUAL_SPARE_FRACTION) * (own / total);
      return (own + equalPart + byDemand) / quotaPerSecond;
    },
  };
}
