/**
 * How many requests a VM sends a target right after a pause that the target
 * asked for. Without a limit, everything that has waited for the end of the
 * pause would reach the target at once, from every VM.
 */
import {rankByRendezvous} from '../hashing/index.js';

export interface ResumingTarget {
  readonly incarnation: string;
  readonly slots: number;
}

/** Requests that a VM may send at the end of the pause. */
const FIRST_REQUESTS = 1;
/** Requests that each answer allows, so that they double with each round. */
const REQUESTS_PER_ANSWER = 2;
/** Another request is allowed after each interval, also without an answer. */
const GROWTH_INTERVAL_MS = 100;
/** VMs begin in groups of as many as the target has slots. */
const GROUP_INTERVAL_MS = 100;
const MAXIMUM_START_DELAY_MS = 1_000;

/** Time after its begin at which a VM resumes its full use of the target. */
export const RESUME_SPAN_MS = 2_000;

/**
 * Time from the end of the pause at which a VM begins. It is 0 for the first
 * group of VMs, which differs from target to target.
 *
 * @param vms Identifiers of the VMs that use the target, this one included.
 */
export function resumeDelayMs(
  vm: string,
  vms: readonly string[],
  {incarnation, slots}: ResumingTarget,
): number {
  const ranked = rankByRendezvous(`resume ${incarnation}`, vms);
  const rank = Math.max(0, ranked.indexOf(vm));
  const group = Math.floor(rank / Math.max(1, slots));
  return Math.min(MAXIMUM_START_DELAY_MS, group * GROUP_INTERVAL_MS);
}

/**
 * Number of requests that a VM may have sent since it began.
 *
 * @param sinceBeginMs Time since the VM began; negative before it.
 * @param answered Number of these requests that the target has answered.
 */
export function resumeAllowance(
  sinceBeginMs: number,
  answered: number,
): number {
  if (sinceBeginMs < 0) {
    return 0;
  }
  return (
    FIRST_REQUESTS +
    answered * REQUESTS_PER_ANSWER +
    Math.floor(sinceBeginMs / GROWTH_INTERVAL_MS)
  );
}
