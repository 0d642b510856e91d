import type {RequestId} from '@ibisbeam/decision';
import type {Trace, Violation} from '../trace.js';

/** A request refused as "not run" never began to run on any target. */
export function checkTruthfulRefusals(trace: Trace): readonly Violation[] {
  const ran = new Map<RequestId, number>();
  const refused = new Map<RequestId, number>();
  for (const event of trace.events) {
    if (event.kind === 'run-started') {
      ran.set(event.request, event.atMs);
      continue;
    }
    if (event.kind !== 'request-ended' || event.end.kind !== 'refused') {
      continue;
    }
    if (event.end.outcome === 'not-run') {
      refused.set(event.request, event.atMs);
    }
  }
  const violations: Violation[] = [];
  for (const [request, atMs] of refused) {
    const ranAtMs = ran.get(request);
    if (ranAtMs === undefined) {
      continue;
    }
    violations.push({
      check: 'truthful-refusal',
      atMs,
      subject: request,
      detail: `refused as not run; ran at ${ranAtMs.toFixed(1)} ms`,
    });
  }
  return violations;
}
