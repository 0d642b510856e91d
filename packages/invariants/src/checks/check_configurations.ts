import type {Generation, VmId} from '@ibisbeam/decision';
import type {Trace, Violation} from '../trace.js';

/** Maximum time until an accepted configuration is in force on every VM. */
const IN_FORCE_BOUND_MS = 11_000;

interface Accepted {
  readonly atMs: number;
  readonly generation: Generation;
}

/**
 * Each VM that runs for the whole bound after a generation was accepted applies
 * that generation or a later one by then, and no VM returns to an earlier one.
 */
export function checkConfigurations(trace: Trace): readonly Violation[] {
  const violations: Violation[] = [];
  const inForce = new Map<VmId, Generation>();
  let pending: Accepted[] = [];
  const endMs = trace.events.at(-1)?.atMs ?? 0;

  function expire(nowMs: number): void {
    for (const accepted of pending) {
      if (nowMs - accepted.atMs <= IN_FORCE_BOUND_MS) {
        break;
      }
      violations.push(...findOutdatedVms(accepted, inForce));
    }
    pending = pending.filter(one => nowMs - one.atMs <= IN_FORCE_BOUND_MS);
  }

  for (const event of trace.events) {
    expire(event.atMs);
    switch (event.kind) {
      case 'configuration-accepted':
        pending.push({atMs: event.atMs, generation: event.generation});
        break;
      case 'configuration-in-force': {
        const earlier = inForce.get(event.vm);
        if (earlier !== undefined && event.generation < earlier) {
          violations.push({
            check: 'configuration',
            atMs: event.atMs,
            subject: event.vm,
            detail: `returned from generation ${earlier} to ${event.generation}`,
          });
        }
        inForce.set(event.vm, event.generation);
        break;
      }
      case 'vm-lost':
        inForce.delete(event.vm);
        break;
      default:
        break;
    }
  }
  expire(endMs);
  return violations;
}

function findOutdatedVms(
  accepted: Accepted,
  inForce: ReadonlyMap<VmId, Generation>,
): readonly Violation[] {
  const late: Violation[] = [];
  for (const [vm, generation] of inForce) {
    if (generation >= accepted.generation) {
      continue;
    }
    late.push({
      check: 'configuration',
      atMs: accepted.atMs + IN_FORCE_BOUND_MS,
      subject: vm,
      detail: `runs generation ${generation}; ${accepted.generation} was accepted ${IN_FORCE_BOUND_MS} ms before`,
    });
  }
  return late;
}
