/** Counts connections to targets and logs those that failed. */
import type {RegisteredTarget} from '@ibisbeam/decision';
import type {Logger} from '@ibisbeam/library';

export type ConnectionOutcome = 'made' | 'failed';

export interface ConnectionLog {
  recordConnection(): void;
  recordFailure(target: RegisteredTarget): void;
  /** Records an answer of a target, on whatever connection. */
  recordAnswer(): void;
  /** Logs the failed connections since the last call, if there are any. */
  flush(): void;
}

export interface ConnectionLogOptions {
  readonly log: Logger;
  countConnection(outcome: ConnectionOutcome): void;
  /** Undefined until the targets are known. */
  listedTargets(): readonly RegisteredTarget[] | undefined;
}

export function createConnectionLog(
  options: ConnectionLogOptions,
): ConnectionLog {
  const failedTargets = new Set<string>();
  const failedZones = new Set<string>();
  let made = 0;
  let failed = 0;
  let answers = 0;

  function flush(): void {
    if (failed > 0) {
      options.log.log('info', 'target-connections', {
        failed,
        failedTargets: failedTargets.size,
        failedZones: failedZones.size,
        made,
        answers,
        listed: options.listedTargets()?.length ?? 0,
      });
    }
    made = 0;
    failed = 0;
    answers = 0;
    failedTargets.clear();
    failedZones.clear();
  }

  return {
    recordConnection: () => {
      made += 1;
      options.countConnection('made');
    },
    recordFailure: ({incarnation, entry}) => {
      failed += 1;
      failedTargets.add(incarnation);
      failedZones.add(entry.zone);
      options.countConnection('failed');
    },
    recordAnswer: () => {
      answers += 1;
    },
    flush,
  };
}
