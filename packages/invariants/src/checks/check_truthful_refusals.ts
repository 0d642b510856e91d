import type {RequestId} from '@ibisbeam/decision';
import type {OperationId, Trace, Violation} from '../trace.js';

interface Refusal {
  readonly atMs: number;
  readonly request: RequestId;
}

/**
 * A request refused as `not-run` never runs on any target. For a non-idempotent
 * operation, no earlier request for the same operation has run by then either.
 */
export function checkTruthfulRefusals(trace: Trace): readonly Violation[] {
  const operations = new Map<RequestId, OperationId>();
  const ranAtMs = new Map<string, number>();
  const refusals: Refusal[] = [];
  for (const event of trace.events) {
    if (event.kind === 'request-sent' && !event.idempotent) {
      operations.set(event.request, event.operation);
    }
    if (event.kind === 'run-started') {
      recordFirst(ranAtMs, event.request, event.atMs);
      recordFirst(ranAtMs, operations.get(event.request), event.atMs);
    }
    if (event.kind !== 'request-ended' || event.end.kind !== 'refused') {
      continue;
    }
    if (event.end.outcome === 'not-run') {
      refusals.push({atMs: event.atMs, request: event.request});
    }
  }
  const violations: Violation[] = [];
  for (const {atMs, request} of refusals) {
    const ownMs = ranAtMs.get(request);
    const operationMs = ranAtMs.get(operations.get(request) ?? '');
    const earlier = operationMs !== undefined && operationMs <= atMs;
    if (ownMs === undefined && !earlier) {
      continue;
    }
    violations.push({
      check: 'truthful-refusal',
      atMs,
      subject: request,
      detail: `refused as not run, but ran at ${(ownMs ?? operationMs)!.toFixed(1)} ms`,
    });
  }
  return violations;
}

function recordFirst(
  firstAtMs: Map<string, number>,
  key: string | undefined,
  atMs: number,
): void {
  if (key !== undefined && !firstAtMs.has(key)) {
    firstAtMs.set(key, atMs);
  }
}
