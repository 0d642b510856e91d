import type {Trace, Violation} from '../trace.js';

/** Targets that one request may bring down, over the whole fleet. */
const TARGETS_LOST_LIMIT = 3;

/** One request, resent or not, brings down at most three targets. */
export function checkCrashingRequests(trace: Trace): readonly Violation[] {
  const lost = new Map<string, number>();
  const violations: Violation[] = [];
  for (const event of trace.events) {
    if (event.kind !== 'target-lost' || event.fingerprint === undefined) {
      continue;
    }
    const count = (lost.get(event.fingerprint) ?? 0) + 1;
    lost.set(event.fingerprint, count);
    if (count > TARGETS_LOST_LIMIT) {
      violations.push({
        check: 'crashing-request',
        atMs: event.atMs,
        subject: event.fingerprint,
        detail: `brought down ${event.target}, target ${count}`,
      });
    }
  }
  return violations;
}
