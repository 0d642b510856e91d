/**
 * Rate limits that targets state: what is known of them and how many requests
 * this VM sends to such targets.
 */
import {
  type RateLimitChange,
  type RegisteredTarget,
  type StatedRateLimits,
  createStatedRateLimits,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';

export interface TargetRateLimits {
  /** @param perSecond Undefined if the target's answer states no limit. */
  recordAnswer(target: RegisteredTarget, perSecond: number | undefined): void;
  recordSent(target: RegisteredTarget): void;
  /** Number of targets with a limit in force. */
  count(): number;
  /** Logs the sends to limited targets since the last call. */
  report(): void;
  removeTarget(incarnation: string): void;
}

export interface TargetRateLimitsOptions {
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  /** Counts a request that is sent to a target with a limit. */
  countLimitedSend(service: string): void;
}

/** Interval of the log lines about limits in force. */
export const RATE_LIMIT_REPORT_INTERVAL_MS = 2_000;

export function createTargetRateLimits(
  options: TargetRateLimitsOptions,
): TargetRateLimits {
  const {timers, log} = options;
  const limits: StatedRateLimits = createStatedRateLimits();
  /** Requests sent to limited targets since the last report. */
  const sent = new Map<string, number>();

  function logChange(
    incarnation: string,
    change: RateLimitChange | undefined,
    from: string,
  ): void {
    if (change === undefined) {
      return;
    }
    log.log('info', 'target-rate-limit', {
      target: incarnation,
      change,
      from,
      perSecond: limits.limitOf(incarnation),
    });
  }

  return {
    recordAnswer: ({incarnation}, perSecond) => {
      const change = limits.recordAnswer(
        incarnation,
        perSecond,
        timers.nowMs(),
      );
      logChange(incarnation, change, 'target');
    },
    recordSent: ({incarnation, entry}) => {
      if (limits.limitOf(incarnation) === undefined) {
        return;
      }
      sent.set(incarnation, (sent.get(incarnation) ?? 0) + 1);
      options.countLimitedSend(entry.service);
    },
    count: () => limits.limited().length,
    report: () => {
      limits.expire(timers.nowMs());
      for (const incarnation of limits.limited()) {
        log.log('info', 'target-rate-limit', {
          target: incarnation,
          change: 'in-force',
          perSecond: limits.limitOf(incarnation),
          sent: sent.get(incarnation) ?? 0,
          spanMs: RATE_LIMIT_REPORT_INTERVAL_MS,
        });
      }
      sent.clear();
    },
    removeTarget: incarnation => {
      limits.remove(incarnation);
      sent.delete(incarnation);
    },
  };
}
