import type {Trace, Violation} from '../trace.js';

/** Tolerates rounding errors, since rates are floating-point sums. */
const TOLERANCE_BITS_PER_SECOND = 1_000;

/** Traffic of the system stays within the usable rate of each region link. */
export function checkLinkBudget(trace: Trace): readonly Violation[] {
  const budgets = new Map<string, number>();
  for (const link of trace.setup.links) {
    budgets.set(`${link.from} to ${link.to}`, link.usableBitsPerSecond);
  }
  const breached = new Set<string>();
  const violations: Violation[] = [];
  for (const event of trace.events) {
    if (event.kind !== 'link-rate') {
      continue;
    }
    const subject = `${event.from} to ${event.to}`;
    const budget = budgets.get(subject) ?? 0;
    const exceeded = event.bitsPerSecond > budget + TOLERANCE_BITS_PER_SECOND;
    if (!exceeded) {
      breached.delete(subject);
      continue;
    }
    if (breached.has(subject)) {
      continue;
    }
    breached.add(subject);
    violations.push({
      check: 'link-budget',
      atMs: event.atMs,
      subject,
      detail: `${event.bitsPerSecond} bit/s over a budget of ${budget}`,
    });
  }
  return violations;
}
