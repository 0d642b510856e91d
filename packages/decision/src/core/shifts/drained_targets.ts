/** Effect of drains on single targets. */
import {computeDrainedFraction} from '../drains/drain_progress.js';
import {scopeCoversTarget} from '../drains/drain_scope.js';
import type {Configuration, ServiceName, Target} from '../model/index.js';

/**
 * Fraction of the target's slots that planned drains remove, 0 to 1. Region
 * drains are not included, because they move cohorts instead.
 *
 * @param wallMs Unix time in milliseconds.
 */
export function computeTargetDrainedFraction(
  configuration: Configuration,
  service: ServiceName,
  target: Target,
  wallMs: number,
): number {
  let fraction = 0;
  for (const drain of configuration.drains) {
    const {scope} = drain;
    if (scope.kind !== 'region' && scopeCoversTarget(scope, service, target)) {
      fraction = Math.max(fraction, computeDrainedFraction(drain, wallMs));
    }
  }
  return fraction;
}
