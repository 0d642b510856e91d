/** Drains of targets and zones, as functions of the configuration and time. */
import {drainedFraction} from '../drains/drain_progress.js';
import {scopeCoversTarget} from '../drains/drain_scope.js';
import type {Configuration, ServiceName, Target} from '../model/index.js';

/**
 * Fraction of the target's slots that planned drains take away, 0 to 1.
 * Drains of whole regions move cohorts instead.
 */
export function targetDrainedFraction(
  configuration: Configuration,
  service: ServiceName,
  target: Target,
  wallMs: number,
): number {
  let fraction = 0;
  for (const drain of configuration.drains) {
    const {scope} = drain;
    if (scope.kind !== 'region' && scopeCoversTarget(scope, service, target)) {
      fraction = Math.max(fraction, drainedFraction(drain, wallMs));
    }
  }
  return fraction;
}
