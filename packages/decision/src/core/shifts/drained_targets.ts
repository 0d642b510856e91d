/** Drains of targets and zones, as functions of the configuration and time. */
import type {
  Configuration,
  Drain,
  ServiceName,
  Target,
} from '../model/index.js';

/** Fraction of the target's slots that planned drains take away, 0 to 1. */
export function targetDrainedFraction(
  configuration: Configuration,
  service: ServiceName,
  target: Target,
  wallMs: number,
): number {
  let fraction = 0;
  for (const drain of configuration.drains) {
    if (drainsTarget(drain, service, target)) {
      fraction = Math.max(fraction, drainedFraction(drain, wallMs));
    }
  }
  return fraction;
}

/** Progress of a drain, 0 to 1; it falls as evenly as it rose. */
export function drainedFraction(drain: Drain, wallMs: number): number {
  const stopMs = Math.min(
    drain.endAtMs ?? Infinity,
    drain.abortedAtMs ?? Infinity,
  );
  const risen = rise(drain, Math.min(wallMs, stopMs));
  if (wallMs <= stopMs) {
    return risen;
  }
  if (drain.rampMs === 0) {
    return 0;
  }
  return Math.max(0, risen - (wallMs - stopMs) / drain.rampMs);
}

function rise(drain: Drain, wallMs: number): number {
  const sinceMs = wallMs - drain.startAtMs;
  if (sinceMs < 0) {
    return 0;
  }
  return drain.rampMs === 0 ? 1 : Math.min(1, sinceMs / drain.rampMs);
}

function drainsTarget(
  drain: Drain,
  service: ServiceName,
  target: Target,
): boolean {
  const {scope} = drain;
  switch (scope.kind) {
    case 'target':
      return scope.target === target.id;
    case 'service-zone':
      return (
        scope.service === service &&
        scope.region === target.region &&
        scope.zone === target.zone
      );
    case 'zone':
      return scope.region === target.region && scope.zone === target.zone;
    case 'region':
    case 'entry-vm':
      return false;
  }
}
