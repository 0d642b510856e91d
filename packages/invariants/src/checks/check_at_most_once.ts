import type {RequestId} from '@ibisbeam/decision';
import type {OperationId, Trace, Violation} from '../trace.js';

/** A non-idempotent operation runs at most once, however often it is resent. */
export function checkAtMostOnce(trace: Trace): readonly Violation[] {
  const operations = new Map<RequestId, OperationId>();
  const runs = new Map<OperationId, number>();
  const violations: Violation[] = [];
  for (const event of trace.events) {
    if (event.kind === 'request-sent' && !event.idempotent) {
      operations.set(event.request, event.operation);
      continue;
    }
    if (event.kind !== 'run-started') {
      continue;
    }
    const operation = operations.get(event.request);
    if (operation === undefined) {
      continue;
    }
    const count = (runs.get(operation) ?? 0) + 1;
    runs.set(operation, count);
    if (count > 1) {
      violations.push({
        check: 'at-most-once',
        atMs: event.atMs,
        subject: operation,
        detail: `run ${count}, on ${event.target}`,
      });
    }
  }
  return violations;
}
