/**
 * Lets a few of the requests through that an estimate of their duration would
 * refuse. A request that is refused brings no sample, so an estimate above all
 * deadlines would otherwise never be corrected.
 *
 * Works like the half-open state of a circuit breaker: trials take a bounded
 * part of the free slots, and come more rarely the longer they fail.
 */
import {assertNever} from '../model/index.js';

/**
 * What became of a trial: `abandoned` if it says nothing of the estimate, since
 * the client left or the request was never sent.
 */
export type TrialResult = 'answered' | 'unanswered' | 'abandoned';

export interface EstimateTrial {
  /** Must be called once. */
  end(result: TrialResult): void;
}

export interface EstimateTrials {
  /**
   * Returns undefined if the request should be refused.
   *
   * @param freeSlots Slots that are estimated to be free at targets of the
   *     route; only called if a trial is due.
   */
  tryBegin(
    route: string,
    freeSlots: () => number,
    nowMs: number,
  ): EstimateTrial | undefined;
}

/** Least time between trials of a route while they are answered. */
const MINIMUM_INTERVAL_MS = 50;
/** Doubles from the least time up to this while trials are not answered. */
const MAXIMUM_INTERVAL_MS = 1_600;
/** Part of the free slots that trials of a route may take; at least one. */
const SLOT_FRACTION = 0.1;

interface RouteTrials {
  intervalMs: number;
  lastStartAtMs: number;
  running: number;
}

export function createEstimateTrials(): EstimateTrials {
  const trialsByRoute = new Map<string, RouteTrials>();

  function trialsOf(route: string): RouteTrials {
    const known = trialsByRoute.get(route);
    if (known) {
      return known;
    }
    const trials: RouteTrials = {
      intervalMs: MINIMUM_INTERVAL_MS,
      lastStartAtMs: -Infinity,
      running: 0,
    };
    trialsByRoute.set(route, trials);
    return trials;
  }

  function mayBegin(
    {intervalMs, lastStartAtMs, running}: RouteTrials,
    freeSlots: () => number,
    nowMs: number,
  ): boolean {
    if (nowMs - lastStartAtMs < intervalMs) {
      return false;
    }
    const free = freeSlots();
    return free >= 1 && running < Math.max(1, free * SLOT_FRACTION);
  }

  return {
    tryBegin: (route, freeSlots, nowMs) => {
      const trials = trialsOf(route);
      if (!mayBegin(trials, freeSlots, nowMs)) {
        return undefined;
      }
      trials.lastStartAtMs = nowMs;
      trials.running += 1;
      return {
        end: result => {
          trials.running -= 1;
          trials.intervalMs = nextIntervalMs(trials.intervalMs, result);
        },
      };
    },
  };
}

function nextIntervalMs(intervalMs: number, result: TrialResult): number {
  switch (result) {
    case 'answered':
      return MINIMUM_INTERVAL_MS;
    case 'unanswered':
      return Math.min(MAXIMUM_INTERVAL_MS, intervalMs * 2);
    case 'abandoned':
      return intervalMs;
    default:
      return assertNever(result);
  }
}
