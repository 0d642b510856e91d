/** What the targets of a pool say of themselves, taken together. */
import type {RegisteredTarget} from '../fleet_targets/index.js';
import type {StatedAvailability} from './stated_availability.js';

export type PoolAvailability =
  /** Some target takes requests, or no target says why it does not. */
  | {readonly kind: 'open'}
  /** All pause, or are about to take more requests after a pause. */
  | {readonly kind: 'resuming'}
  /** `leftMs`: time until the first pause ends. */
  | {readonly kind: 'pausing'; readonly leftMs: number}
  | {readonly kind: 'leaving'};

/** @param targets All targets that the platform lists for the pool. */
export function poolAvailability(
  stated: Pick<StatedAvailability, 'availability' | 'pauseLeftMs'>,
  targets: Iterable<RegisteredTarget>,
  nowMs: number,
): PoolAvailability {
  let isAnyLeaving = false;
  let isAnyResuming = false;
  let leftMs = Infinity;
  for (const {incarnation} of targets) {
    const state = stated.availability(incarnation, nowMs);
    switch (state) {
      case 'open':
      case 'discouraged':
        return {kind: 'open'};
      case 'resuming':
        isAnyResuming = true;
        break;
      case 'pausing':
        leftMs = Math.min(leftMs, stated.pauseLeftMs(incarnation, nowMs));
        break;
      case 'leaving':
        isAnyLeaving = true;
        break;
    }
  }
  if (isAnyResuming) {
    return {kind: 'resuming'};
  }
  if (leftMs < Infinity) {
    return {kind: 'pausing', leftMs};
  }
  return {kind: isAnyLeaving ? 'leaving' : 'open'};
}
