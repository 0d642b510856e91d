/**
 * What this VM's own connections to targets show: whether it reaches them, in
 * the log and in the metrics.
 */
import type {RegisteredTarget} from '@ibisbeam/decision';
import type {Logger} from '@ibisbeam/library';

export type ConnectionOutcome = 'made' | 'failed';

/** Told by everything that connects to targets. */
export interface ReachEvidence {
  /** A new connection to the target is established. */
  recordConnection(target: RegisteredTarget): void;
  recordConnectionFailure(target: RegisteredTarget): void;
  /** A target has answered a request, on whatever connection. */
  recordAnswer(): void;
}

export interface TargetReachability {
  readonly evidence: ReachEvidence;
  /** Logs the failed connections since the last call, if there are any. */
  logFailures(): void;
}

export interface TargetReachabilityOptions {
  readonly log: Logger;
  countConnection(outcome: ConnectionOutcome): void;
  /** Number of listed targets. */
  listedTargets(): number;
}

/** Interval of the log lines about failed connections. */
export const REACH_LOG_INTERVAL_MS = 1_000;

export function createTargetReachability(
  options: TargetReachabilityOptions,
): TargetReachability {
  const {log} = options;
  let made = 0;
  let failed = 0;
  let answers = 0;
  const failedTargets = new Set<string>();
  const failedZones = new Set<string>();

  function recordConnectionFailure({incarnation, entry}: RegisteredTarget) {
    failed += 1;
    failedTargets.add(incarnation);
    failedZones.add(entry.zone);
    options.countConnection('failed');
  }

  function logFailures(): void {
    if (failed > 0) {
      log.log('info', 'target-connections', {
        failed,
        failedTargets: failedTargets.size,
        failedZones: failedZones.size,
        made,
        answers,
        listed: options.listedTargets(),
      });
    }
    made = 0;
    failed = 0;
    answers = 0;
    failedTargets.clear();
    failedZones.clear();
  }

  return {
    evidence: {
      recordConnection: () => {
        made += 1;
        options.countConnection('made');
      },
      recordConnectionFailure,
      recordAnswer: () => {
        answers += 1;
      },
    },
    logFailures,
  };
}
