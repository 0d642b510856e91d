import type {Trace, Violation} from '../trace.js';

/** A planned stop of a VM aborts no in-flight request. */
export function checkGracefulStops(trace: Trace): readonly Violation[] {
  const violations: Violation[] = [];
  for (const event of trace.events) {
    if (event.kind !== 'request-cut' || event.cause !== 'stop') {
      continue;
    }
    violations.push({
      check: 'graceful-stop',
      atMs: event.atMs,
      subject: event.vm,
      detail: `aborted in-flight request ${event.request}`,
    });
  }
  return violations;
}
