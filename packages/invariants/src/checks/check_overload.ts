import type {TargetId} from '@ibisbeam/decision';
import type {Trace, TracedTarget, Violation} from '../trace.js';

interface Occupancy {
  readonly target: TracedTarget;
  inFlightCount: number;
  overSinceMs?: number;
}

/**
 * No target has more in-flight requests than slots. The slots of a region are
 * the sum over its targets, so this covers the region as well. Each violation
 * is one period of overload.
 */
export function checkOverload(trace: Trace): readonly Violation[] {
  const occupancies = new Map<TargetId, Occupancy>();
  for (const [id, target] of trace.setup.targets) {
    occupancies.set(id, {target, inFlightCount: 0});
  }
  const violations: Violation[] = [];

  function updateOverload(
    id: TargetId,
    occupancy: Occupancy,
    atMs: number,
  ): void {
    const isOverloaded = occupancy.inFlightCount > occupancy.target.slots;
    if (isOverloaded && occupancy.overSinceMs === undefined) {
      occupancy.overSinceMs = atMs;
    }
    if (!isOverloaded && occupancy.overSinceMs !== undefined) {
      violations.push(overloadViolation(id, occupancy.overSinceMs, atMs));
      occupancy.overSinceMs = undefined;
    }
  }

  let lastMs = 0;
  for (const event of trace.events) {
    lastMs = event.atMs;
    if (
      event.kind !== 'target-entered' &&
      event.kind !== 'target-left' &&
      event.kind !== 'target-lost'
    ) {
      continue;
    }
    const occupancy = occupancies.get(event.target);
    if (!occupancy) {
      continue;
    }
    if (event.kind === 'target-lost') {
      occupancy.inFlightCount = 0;
    } else {
      occupancy.inFlightCount += event.kind === 'target-entered' ? 1 : -1;
    }
    updateOverload(event.target, occupancy, event.atMs);
  }
  for (const [id, occupancy] of occupancies) {
    occupancy.inFlightCount = 0;
    updateOverload(id, occupancy, lastMs);
  }
  return violations;
}

function overloadViolation(
  target: TargetId,
  sinceMs: number,
  untilMs: number,
): Violation {
  return {
    check: 'overload',
    atMs: sinceMs,
    subject: target,
    detail: 'had more in-flight requests than slots',
    durationMs: untilMs - sinceMs,
  };
}

/** Sum of the overload periods of all targets, in milliseconds. */
export function totalOverloadMs(violations: readonly Violation[]): number {
  let total = 0;
  for (const violation of violations) {
    if (violation.check === 'overload') {
      total += violation.durationMs ?? 0;
    }
  }
  return total;
}
