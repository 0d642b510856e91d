import type {TargetId} from '@ibisbeam/decision';
import type {Trace, Violation} from '../trace.js';

/** Attempts may still be sent for this long after a target starts leaving. */
const LEAVING_GRACE_MS = 3_000;

/** A leaving target receives no attempts after the grace period. */
export function checkLeavingTargets(trace: Trace): readonly Violation[] {
  const leavingSinceMs = new Map<TargetId, number>();
  const violations: Violation[] = [];
  for (const event of trace.events) {
    if (event.kind === 'leaving-ended') {
      leavingSinceMs.delete(event.target);
      continue;
    }
    if (event.kind === 'leaving-signed') {
      const earlier = leavingSinceMs.get(event.target);
      leavingSinceMs.set(event.target, earlier ?? event.atMs);
      continue;
    }
    if (event.kind !== 'attempt-sent') {
      continue;
    }
    const sinceMs = leavingSinceMs.get(event.target);
    if (sinceMs === undefined || event.atMs - sinceMs <= LEAVING_GRACE_MS) {
      continue;
    }
    violations.push({
      check: 'leaving-target',
      atMs: event.atMs,
      subject: event.target,
      detail: `${event.vm} sent ${event.request} ${(event.atMs - sinceMs).toFixed(0)} ms after the target started leaving`,
    });
  }
  return violations;
}
