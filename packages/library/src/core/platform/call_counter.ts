import type {Metrics} from '../metrics/index.js';
import type {PlatformPurpose} from './types.js';

export interface PurposeCallCounts {
  readonly calls: number;
  readonly failures: number;
  /** Bytes of request and response bodies. */
  readonly bytes: number;
}

/** Counts store calls by purpose, for call budgets and metrics. */
export interface CallCounter {
  recordCall(purpose: PlatformPurpose, bytes: number, failed: boolean): void;
  counts(): ReadonlyMap<PlatformPurpose, PurposeCallCounts>;
}

export function createCallCounter(metrics: Metrics): CallCounter {
  const counts = new Map<PlatformPurpose, PurposeCallCounts>();

  function recordCall(
    purpose: PlatformPurpose,
    bytes: number,
    failed: boolean,
  ): void {
    const previous = counts.get(purpose) ?? {calls: 0, failures: 0, bytes: 0};
    counts.set(purpose, {
      calls: previous.calls + 1,
      failures: previous.failures + (failed ? 1 : 0),
      bytes: previous.bytes + bytes,
    });
    metrics.emit({kind: 'count', name: 'platform.calls', tags: {purpose}});
    if (failed) {
      metrics.emit({kind: 'count', name: 'platform.failures', tags: {purpose}});
    }
  }

  return {recordCall, counts: () => counts};
}
