/**
 * Retry budget over a sliding window: limits the retries at a service to a
 * fraction of its requests, so that failures cannot multiply the load. Each VM
 * applies the fraction to its own requests without coordination; the fixed
 * slack of the fleet is divided among the VMs.
 */

export interface WindowedRetryBudget {
  recordRequest(service: string, nowMs: number): void;
  /** Takes one retry from the budget; returns false if it is used up. */
  takeRetry(service: string, nowMs: number): boolean;
}

export interface WindowedRetryBudgetOptions {
  readonly windowMs: number;
  /** Retries allowed per request. */
  ratio(): number;
  /** Additional retries per window for the whole fleet. */
  slack(): number;
  /** Number of VMs that share the slack. */
  vmCount(): number;
}

/**
 * Fraction of the budget that is used, because the windows of the VMs and of an
 * observer do not begin at the same time.
 */
const SAFETY_FACTOR = 0.8;
const WINDOW_STEPS = 10;

interface Window {
  readonly requests: number[];
  readonly retries: number[];
  step: number;
}

export function createWindowedRetryBudget(
  options: WindowedRetryBudgetOptions,
): WindowedRetryBudget {
  const stepMs = options.windowMs / WINDOW_STEPS;
  const windows = new Map<string, Window>();

  function windowOf(service: string, nowMs: number): Window {
    const step = Math.floor(nowMs / stepMs);
    const known = windows.get(service);
    if (!known) {
      const window: Window = {
        requests: new Array<number>(WINDOW_STEPS).fill(0),
        retries: new Array<number>(WINDOW_STEPS).fill(0),
        step,
      };
      windows.set(service, window);
      return window;
    }
    const passed = Math.min(step - known.step, WINDOW_STEPS);
    for (let index = 1; index <= passed; index += 1) {
      const slot = (known.step + index) % WINDOW_STEPS;
      known.requests[slot] = 0;
      known.retries[slot] = 0;
    }
    known.step = Math.max(step, known.step);
    return known;
  }

  return {
    recordRequest: (service, nowMs) => {
      const window = windowOf(service, nowMs);
      const slot = window.step % WINDOW_STEPS;
      window.requests[slot] = (window.requests[slot] ?? 0) + 1;
    },
    takeRetry: (service, nowMs) => {
      const window = windowOf(service, nowMs);
      const slack = options.slack() / Math.max(1, options.vmCount());
      const budget = sum(window.requests) * options.ratio() + slack;
      if (sum(window.retries) + 1 > budget * SAFETY_FACTOR) {
        return false;
      }
      const slot = window.step % WINDOW_STEPS;
      window.retries[slot] = (window.retries[slot] ?? 0) + 1;
      return true;
    },
  };
}

function sum(values: readonly number[]): number {
  let total = 0;
  for (const value of values) {
    total += value;
  }
  return total;
}
