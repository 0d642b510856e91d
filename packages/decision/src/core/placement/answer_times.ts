/** What the duration of an answer tells of its target and of its route. */
import type {Placement} from './affinity_placement.js';
import type {ServiceTimes} from './service_times.js';
import type {TargetLoad} from './target_load.js';

export interface AnswerTimes {
  readonly route: string;
  /** Latency objective of the route. */
  readonly objectiveMs: number;
  /** Whether the request had an affinity key. */
  readonly hasKey: boolean;
  readonly placement: Placement;
  /** Time from sending the request to its answer. */
  readonly tookMs: number;
  /** Estimated requests at the target before this one was sent. */
  readonly inFlightAtStart: number;
  /** As in the load report of the answer; absent if the target does not tell. */
  readonly workTimeRatio?: number | undefined;
  /** Whether the request was sent although the estimates would refuse it. */
  readonly isTrial: boolean;
}

/** Updates the averages that the answer is a sample of. */
export function recordAnswerTimes(
  targetLoad: TargetLoad,
  serviceTimes: ServiceTimes,
  answer: AnswerTimes,
  nowMs: number,
): void {
  const {route, objectiveMs, placement, tookMs, isTrial} = answer;
  const {target, roundTripMs, expectedMs, delayMs} = placement;
  const {incarnation, entry} = target;
  const waitMs = placement.waitMs - delayMs;
  const slowdown = targetLoad.slowdown(incarnation, nowMs);
  const runMs =
    Math.max(0, tookMs - waitMs - roundTripMs) / usualTimeFactor(answer);
  const isWarm = looksWarm(serviceTimes, answer, runMs, slowdown, nowMs);
  const typicalMs = serviceTimes.expectedMs(route, objectiveMs, isWarm, nowMs);
  targetLoad.recordDelay(incarnation, tookMs - (expectedMs - delayMs), nowMs);
  // If the target had a queue, the time includes the wait in that queue.
  const hadSlot = answer.inFlightAtStart < entry.slots;
  const ratio = runMs / Math.max(1, typicalMs);
  targetLoad.recordResponse(incarnation, hadSlot ? ratio : undefined, nowMs);
  if (hadSlot) {
    serviceTimes.recordDuration(
      {route, objectiveMs, warm: isWarm, tookMs: runMs / slowdown, isTrial},
      nowMs,
    );
  }
}

/** Which of the route's estimates the answer is a sample of. */
function looksWarm(
  serviceTimes: ServiceTimes,
  {route, objectiveMs, hasKey, placement, isTrial}: AnswerTimes,
  runMs: number,
  slowdown: number,
  nowMs: number,
): boolean {
  // A trial corrects the estimate that would have refused it.
  if (isTrial) {
    return placement.warm;
  }
  return (
    !hasKey ||
    serviceTimes.looksWarm(route, objectiveMs, runMs, slowdown, nowMs)
  );
}

/**
 * How much longer than usual work took at the target's machine, as far as it
 * tells. What lasts for a moment says nothing of the target's own speed, nor of
 * whether it had the key in its cache.
 */
function usualTimeFactor({workTimeRatio}: AnswerTimes): number {
  return Math.max(1, workTimeRatio ?? 1);
}
