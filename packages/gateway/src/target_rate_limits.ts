/**
 * Keeps requests to targets below the rate limits that these state in their
 * answers. A limit holds for all VMs together: each keeps to its part, and VMs
 * tell each other what they hear.
 */
import {
  type RateLimitChange,
  type RateLimitReport,
  type RegisteredTarget,
  type SharingVm,
  createStatedRateLimiter,
  createStatedRateLimits,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';

export interface TargetRateLimits {
  /** Requests per second for all VMs together; undefined without a limit. */
  limitOf(incarnation: string): number | undefined;
  /** Whether this VM may send the target a request now. */
  allows(target: RegisteredTarget): boolean;
  recordSent(target: RegisteredTarget): void;
  /** @param perSecond Undefined if the target's answer states no limit. */
  recordAnswer(target: RegisteredTarget, perSecond: number | undefined): void;
  recordPeerReports(vm: string, reports: readonly RateLimitReport[]): void;
  /** Everything that is known, for a VM that has just connected. */
  reports(): readonly RateLimitReport[];
  /** What this VM heard from targets since the last call. */
  takeNews(): readonly RateLimitReport[];
  /** @param others The other VMs that share the rates. */
  setVms(others: readonly SharingVm[]): void;
  /** Number of targets with a limit in force. */
  count(): number;
  /** Logs the sends to limited targets since the last call. */
  logSends(): void;
  removeTarget(incarnation: string): void;
}

export interface TargetRateLimitsOptions {
  readonly self: SharingVm;
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  /** A target has stated a limit or lifted it; other VMs should hear of it. */
  onNews(): void;
  /** Counts a request that is sent to a target with a limit. */
  countLimitedSend(service: string): void;
}

/** Interval of the log lines about limits in force. */
export const RATE_LIMIT_LOG_INTERVAL_MS = 2_000;

export function createTargetRateLimits(
  options: TargetRateLimitsOptions,
): TargetRateLimits {
  const {timers, log} = options;
  const limits = createStatedRateLimits();
  const limiter = createStatedRateLimiter(options.self);
  /** Requests sent to limited targets since they were last logged. */
  const sent = new Map<string, number>();

  function logChange(
    incarnation: string,
    change: RateLimitChange,
    from: string,
  ): void {
    log.log('info', 'target-rate-limit', {
      target: incarnation,
      change,
      from,
      perSecond: limits.limitOf(incarnation),
    });
  }

  function recordAnswer(
    {incarnation}: RegisteredTarget,
    perSecond: number | undefined,
  ): void {
    const change = limits.recordAnswer(incarnation, perSecond, timers.nowMs());
    if (change === undefined) {
      return;
    }
    logChange(incarnation, change, 'target');
    if (change !== 'changed') {
      options.onNews();
    }
  }

  function recordSent(target: RegisteredTarget): void {
    const {incarnation, entry} = target;
    const perSecond = limits.limitOf(incarnation);
    if (perSecond === undefined) {
      return;
    }
    limiter.takeToken(target, perSecond, timers.nowMs());
    sent.set(incarnation, (sent.get(incarnation) ?? 0) + 1);
    options.countLimitedSend(entry.service);
  }

  function logSends(): void {
    for (const incarnation of limits.expire(timers.nowMs())) {
      log.log('info', 'target-rate-limit', {
        target: incarnation,
        change: 'expired',
      });
    }
    for (const incarnation of limits.limited()) {
      log.log('info', 'target-rate-limit', {
        target: incarnation,
        change: 'in-force',
        perSecond: limits.limitOf(incarnation),
        sent: sent.get(incarnation) ?? 0,
        spanMs: RATE_LIMIT_LOG_INTERVAL_MS,
      });
    }
    sent.clear();
  }

  return {
    limitOf: limits.limitOf,
    allows: target => {
      const perSecond = limits.limitOf(target.incarnation);
      return (
        perSecond === undefined ||
        limiter.allows(target, perSecond, timers.nowMs())
      );
    },
    recordSent,
    recordAnswer,
    recordPeerReports: (vm, reports) => {
      for (const report of reports) {
        const change = limits.recordReport(report, timers.nowMs());
        if (change !== undefined) {
          logChange(report.incarnation, change, vm);
        }
      }
    },
    reports: () => limits.reports(timers.nowMs()),
    takeNews: () => limits.takeNews(timers.nowMs()),
    setVms: limiter.setVms,
    count: () => limits.limited().length,
    logSends,
    removeTarget: incarnation => {
      limits.remove(incarnation);
      sent.delete(incarnation);
    },
  };
}
