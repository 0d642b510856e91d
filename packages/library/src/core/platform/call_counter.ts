import type {Metrics} from '../metrics/index.js';
import type {PlatformPurpose} from './types.js';

export interface PurposeCount {
  readonly calls: number;
  readonly failures: number;
  /** Bytes of bodies, both ways. */
  readonly bytes: number;
}

/** Counts store calls by purpose, for budgets and metrics. */
export interface CallCounter {
  recordCall(purpose: PlatformPurpose, bytes: number, failed: boolean): void;
  counts(): ReadonlyMap<PlatformPurpose, PurposeCount>;
}

export function createCallCounter(metrics: Metrics): CallCounter {
  const counts = new Map<PlatformPurpose, PurposeCount>();

  function called(
    purpose: PlatformPurpose,
    bytes: number,
    failed: boolean,
  ): void {
    const before = counts.get(purpose) ?? {calls: 0, failures: 0, bytes: 0};
    counts.set(purpose, {
      calls: before.calls + 1,
      failures: before.failures + (failed ? 1 : 0),
      bytes: before.bytes + bytes,
    });
    metrics.emit({kind: 'count', name: 'platform.calls', tags: {purpose}});
    if (failed) {
      metrics.emit({kind: 'count', name: 'platform.failures', tags: {purpose}});
    }
  }

  return {recordCall: called, counts: () => counts};
}
