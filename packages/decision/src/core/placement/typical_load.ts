/**
 * How busy the targets of each service are on the average, from what they report
 * with their answers.
 *
 * Load pattern: a fleet whose VMs share many targets, so that each VM hears of a
 * target every few seconds only. A target of which nothing is known is not idle
 * then: it is about as busy as the others. VMs that take it for idle send it
 * requests until it refuses them.
 */
import type {LoadReport} from './target_load.js';

export interface TypicalLoad {
  record(service: string, report: LoadReport, nowMs: number): void;
  /**
   * Requests per slot at a target of the service, running and waiting; 0 if
   * nothing was reported lately.
   */
  requestsPerSlot(service: string, nowMs: number): number;
}

/** Weight of the newest report. */
const SAMPLE_WEIGHT = 0.05;
/** Without reports for this time, nothing is assumed. */
const LIFETIME_MS = 2_000;

interface Average {
  readonly requestsPerSlot: number;
  readonly atMs: number;
}

export function createTypicalLoad(): TypicalLoad {
  const averages = new Map<string, Average>();

  return {
    record: (service, {running, waiting, slots}, nowMs) => {
      const sample = (running + waiting) / Math.max(1, slots);
      const before = averages.get(service)?.requestsPerSlot ?? sample;
      averages.set(service, {
        requestsPerSlot: before + (sample - before) * SAMPLE_WEIGHT,
        atMs: nowMs,
      });
    },
    requestsPerSlot: (service, nowMs) => {
      const average = averages.get(service);
      const isRecent = average && nowMs - average.atMs <= LIFETIME_MS;
      return isRecent ? average.requestsPerSlot : 0;
    },
  };
}
