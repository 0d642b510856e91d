import type {Trace, Violation} from '../trace.js';

/** Maximum number of targets in the fleet that one request may crash. */
const TARGETS_LOST_LIMIT = 3;

/** A request, including its resends, crashes at most three targets. */
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
        detail: `crashed ${event.target}, target ${count} of at most ${TARGETS_LOST_LIMIT}`,
      });
    }
  }
  return violations;
}
