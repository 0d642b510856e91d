import type {Trace, Violation} from '../trace.js';
import {cohortKey, cohortRequests} from './cohorts.js';

/**
 * VMs learn of a shift's start one after another, so that they may differ
 * about a cohort for this long after it first moved.
 */
const AGREEMENT_MS = 3_000;

/**
 * A shift does not begin again, whichever VM is replaced in the middle of it:
 * a cohort that was served away from home is not held back under the cap while
 * it still cannot be served at home.
 */
export function checkShiftProgress(trace: Trace): readonly Violation[] {
  const requests = cohortRequests(trace);
  const movedAtMs = new Map<string, number>();
  const violations: Violation[] = [];
  for (const event of trace.events) {
    if (event.kind === 'run-started') {
      const request = requests.get(event.request);
      const target = trace.facts.targets.get(event.target);
      if (!request || !target) {
        continue;
      }
      const key = cohortKey(request);
      if (target.region === request.home) {
        movedAtMs.delete(key);
      } else if (!movedAtMs.has(key)) {
        movedAtMs.set(key, event.atMs);
      }
      continue;
    }
    if (event.kind !== 'request-ended' || event.end.kind !== 'refused') {
      continue;
    }
    const request = requests.get(event.request);
    if (!request || event.end.reason !== 'shift-cap-reached') {
      continue;
    }
    const movedMs = movedAtMs.get(cohortKey(request));
    if (movedMs === undefined || event.atMs - movedMs <= AGREEMENT_MS) {
      continue;
    }
    violations.push({
      check: 'shift-progress',
      atMs: event.atMs,
      subject: cohortKey(request),
      detail: `held back ${(event.atMs - movedMs).toFixed(0)} ms after it had moved`,
    });
  }
  return violations;
}
