/**
 * Keeps requests away from targets that say that they are leaving, and from
 * those that ask for a pause. Pauses hold for the VM that was asked; VMs tell
 * each other of targets that leave.
 */
import {
  type LeavingReport,
  type PoolAvailability,
  type RegisteredTarget,
  type StatedAvailability,
  type TargetRegistry,
  createStatedAvailability,
  poolAvailability,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';

/** What an answer of a target says of the target. */
export interface AnswerStatement {
  readonly isLeaving: boolean;
  /** Time for which the target wants no requests of this VM; undefined if any. */
  readonly pauseMs: number | undefined;
  /** Whether the target has served the request. */
  readonly isServed: boolean;
}

export interface TargetAvailability {
  /** For the choice of a target. */
  readonly stated: StatedAvailability;
  isLeaving(incarnation: string): boolean;
  /** Why the target gets no request now, whatever is known of its load. */
  withheldBecause(incarnation: string): string | undefined;
  recordSent(target: RegisteredTarget): void;
  recordAnswer(target: RegisteredTarget, statement: AnswerStatement): void;
  /** The platform's list says that the target is leaving. */
  recordListedLeaving(target: RegisteredTarget): void;
  recordPeerReports(vm: string, reports: readonly LeavingReport[]): void;
  /** What this VM heard from targets, for a VM that has just connected. */
  reports(): readonly LeavingReport[];
  /** What this VM heard from targets since the last call. */
  takeNews(): readonly LeavingReport[];
  /**
   * The targets that may run requests of the service, taken together.
   *
   * @param homeRegions The only regions that may; empty if any may.
   */
  poolOf(service: string, homeRegions: readonly string[]): PoolAvailability;
  /** Forgets what is over. */
  expire(): void;
  /** Number of listed targets that are leaving. */
  leavingCount(): number;
  pausingCount(): number;
}

export interface TargetAvailabilityOptions {
  readonly vm: string;
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  registry(): TargetRegistry;
  /** Requests of this VM that the target has not answered. */
  inFlight(incarnation: string): number;
  /** A target gets no new requests from now on. */
  onLeaving(incarnation: string): void;
  /** No target of the service takes requests any longer. */
  onPoolClosed(service: string): void;
  /** A target says that it is leaving; other VMs should hear of it. */
  onNews(): void;
}

export function createTargetAvailability(
  options: TargetAvailabilityOptions,
): TargetAvailability {
  const {timers, log} = options;
  const stated = createStatedAvailability(options.vm);

  function recordAnswer(
    target: RegisteredTarget,
    {isLeaving, pauseMs, isServed}: AnswerStatement,
  ): void {
    const {incarnation} = target;
    const nowMs = timers.nowMs();
    if (isLeaving) {
      recordLeaving(target, nowMs);
    } else if (isServed) {
      stated.recordServed(incarnation, nowMs);
    }
    if (pauseMs !== undefined) {
      recordPause(target, pauseMs, nowMs);
    }
  }

  function recordLeaving(target: RegisteredTarget, nowMs: number): void {
    const {incarnation} = target;
    if (!stated.recordLeaving(incarnation, nowMs)) {
      return;
    }
    logLeaving(incarnation, 'target');
    stopUsing(target);
    options.onNews();
  }

  function logLeaving(incarnation: string, from: string): void {
    log.log('info', 'target-leaving', {
      target: incarnation,
      from,
      inFlight: options.inFlight(incarnation),
    });
  }

  function stopUsing({incarnation, entry}: RegisteredTarget): void {
    options.registry().refreshUsable(entry.service);
    options.onLeaving(incarnation);
    checkPool(entry.service);
  }

  function checkPool(service: string): void {
    if (poolOf(service, []).kind !== 'open') {
      options.onPoolClosed(service);
    }
  }

  function recordPause(
    target: RegisteredTarget,
    pauseMs: number,
    nowMs: number,
  ): void {
    const {incarnation, entry} = target;
    const change = stated.recordPause(target, pauseMs, nowMs);
    if (!change) {
      return;
    }
    log.log('info', 'target-pausing', {
      target: incarnation,
      from: 'target',
      pauseMs: change.pauseMs,
      inFlight: options.inFlight(incarnation),
    });
    checkPool(entry.service);
  }

  function withheldBecause(incarnation: string): string | undefined {
    const state = stated.availability(incarnation, timers.nowMs());
    switch (state) {
      case 'leaving':
        return 'the target is leaving';
      case 'pausing':
        return 'the target asked for a pause';
      case 'open':
      case 'discouraged':
      case 'resuming':
        return undefined;
    }
  }

  function poolOf(
    service: string,
    homeRegions: readonly string[],
  ): PoolAvailability {
    if (stated.isUnrestricted()) {
      return {kind: 'open'};
    }
    const registry = options.registry();
    const evacuated = registry.evacuated();
    const targets = registry
      .all()
      .filter(
        ({entry, region}) =>
          entry.service === service &&
          !evacuated.has(entry.zone) &&
          (homeRegions.length === 0 || homeRegions.includes(region)),
      );
    return poolAvailability(stated, targets, timers.nowMs());
  }

  function leavingCount(): number {
    const leaving = new Set(stated.leaving());
    return options
      .registry()
      .all()
      .filter(({incarnation}) => leaving.has(incarnation)).length;
  }

  function expire(): void {
    const listed = new Set<string>();
    for (const {incarnation} of options.registry().all()) {
      listed.add(incarnation);
    }
    const resumed = stated.expire(timers.nowMs(), incarnation =>
      listed.has(incarnation),
    );
    for (const incarnation of resumed) {
      log.log('info', 'target-resumed', {target: incarnation});
    }
  }

  return {
    stated,
    isLeaving: incarnation => stated.isLeaving(incarnation),
    withheldBecause,
    recordSent: ({incarnation}) =>
      stated.recordSent(incarnation, timers.nowMs()),
    recordAnswer,
    recordListedLeaving: target => {
      if (stated.recordListedLeaving(target.incarnation, timers.nowMs())) {
        stopUsing(target);
      }
    },
    recordPeerReports: (vm, reports) => {
      for (const report of reports) {
        if (stated.recordReport(report, timers.nowMs())) {
          logLeaving(report.incarnation, vm);
        }
      }
    },
    reports: () => stated.reports(timers.nowMs()),
    takeNews: () => stated.takeNews(timers.nowMs()),
    poolOf,
    expire,
    leavingCount,
    pausingCount: () => stated.pausing(timers.nowMs()).length,
  };
}
