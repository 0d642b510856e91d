/**
 * Keeps callers within the quotas of their workspaces, and tells of it: what
 * peers need to know, log lines and metrics.
 */
import {
  type QuotaDecision,
  type QuotaDemandReport,
  type QuotaTolerance,
  type RandomSource,
  type RequestQuota,
  type Workspace,
  createFleetQuotas,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';

export interface WorkspaceQuotas {
  /** @param workspaces Those of the configuration in force. */
  setWorkspaces(workspaces: readonly Workspace[]): void;
  /**
   * Takes an allowance for a request.
   *
   * @param isReturning Whether the caller comes back after a refusal.
   */
  admit(workspace: string, isReturning: boolean): QuotaDecision;
  /** Gives back the allowance of a request that no target has run. */
  refund(workspace: string): void;
  /** @param others The other VMs that may be passing requests on. */
  setVms(others: readonly string[], heardCount: number): void;
  recordPeerReport(vm: string, report: QuotaDemandReport): void;
  takeNews(): QuotaDemandReport | undefined;
  /** For a VM that has just connected; undefined if there is nothing. */
  report(): QuotaDemandReport | undefined;
  /** Logs workspaces that were refused requests since the last call. */
  logRefusals(): void;
}

export interface WorkspaceQuotasOptions {
  /** Identifier of this VM. */
  readonly self: string;
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  readonly random: RandomSource;
  tolerance(): QuotaTolerance;
  countDecision(decision: QuotaDecision['kind']): void;
}

/** Interval of the log lines about workspaces that exceed their quotas. */
export const QUOTA_LOG_INTERVAL_MS = 2_000;
/** The workspaces with the most refusals are logged. */
const MAXIMUM_LOGGED_WORKSPACES = 10;

interface Counts {
  admitted: number;
  refused: number;
}

export function createWorkspaceQuotas(
  options: WorkspaceQuotasOptions,
): WorkspaceQuotas {
  const {timers, log} = options;
  const quotas = createFleetQuotas({
    self: options.self,
    tolerance: options.tolerance,
    random: options.random.next,
  });
  let limits: ReadonlyMap<string, RequestQuota> = new Map();
  /** Decisions since the last log lines. */
  const counts = new Map<string, Counts>();

  function setWorkspaces(workspaces: readonly Workspace[]): void {
    const next = new Map<string, RequestQuota>();
    for (const {name, quota} of workspaces) {
      if (quota) {
        next.set(name, quota);
      }
    }
    limits = next;
    quotas.setQuotas(limits, timers.nowMs());
  }

  function admit(workspace: string, isReturning: boolean): QuotaDecision {
    const decision = quotas.admit(workspace, isReturning, timers.nowMs());
    if (limits.has(workspace)) {
      const count = counts.get(workspace) ?? {admitted: 0, refused: 0};
      count[decision.kind] += 1;
      counts.set(workspace, count);
      options.countDecision(decision.kind);
    }
    return decision;
  }

  function logRefusals(): void {
    const refused = [...counts]
      .filter(([, count]) => count.refused > 0)
      .sort(([, one], [, other]) => other.refused - one.refused);
    for (const [workspace, count] of refused.slice(
      0,
      MAXIMUM_LOGGED_WORKSPACES,
    )) {
      log.log('info', 'workspace-quota', {
        workspace,
        perSecond: limits.get(workspace)?.perSecond,
        ownPerSecond: quotas
          .ownPerSecond(workspace, timers.nowMs())
          ?.toFixed(2),
        admitted: count.admitted,
        refused: count.refused,
        spanMs: QUOTA_LOG_INTERVAL_MS,
      });
    }
    counts.clear();
  }

  return {
    setWorkspaces,
    admit,
    refund: workspace => quotas.refund(workspace, timers.nowMs()),
    setVms: quotas.setVms,
    recordPeerReport: quotas.recordReport,
    takeNews: () => quotas.takeNews(timers.nowMs()),
    report: () => (limits.size > 0 ? quotas.report() : undefined),
    logRefusals,
  };
}
