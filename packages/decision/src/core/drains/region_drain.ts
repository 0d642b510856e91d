/**
 * Effective progress of a drain. A region drain moves the cohorts of each
 * workspace and service within that service's shift cap, so it can take longer
 * than its ramp; other drains follow their ramp alone.
 */
import type {Configuration, Drain} from '../model/index.js';
import {schedulePlannedMoves} from '../shifts/index.js';
import {defaultSteeringParameters} from '../steering/parameters.js';
import {type DrainProgress, computeDrainProgress} from './drain_progress.js';

/** @param wallMs Unix time in milliseconds. */
export function computeEffectiveDrainProgress(
  configuration: Configuration,
  drain: Drain,
  wallMs: number,
): DrainProgress {
  const planned = computeDrainProgress(drain, wallMs);
  if (drain.scope.kind !== 'region') {
    return planned;
  }
  const moves = drainMoves(configuration, drain);
  let minimumProgress = 1;
  let maximumProgress = 0;
  for (const move of moves) {
    minimumProgress = Math.min(minimumProgress, move.progress(wallMs));
    maximumProgress = Math.max(maximumProgress, move.progress(wallMs));
  }
  switch (planned.state) {
    case 'planned':
      return planned;
    case 'ramping':
    case 'drained': {
      if (minimumProgress >= 1) {
        return {...planned, state: 'drained', fraction: 1};
      }
      const timeLeftMs =
        computeRegionDrainedAtMs(configuration, drain) - wallMs;
      return {state: 'ramping', fraction: minimumProgress, timeLeftMs};
    }
    case 'returning':
    case 'ended':
    case 'aborted': {
      if (maximumProgress <= 0) {
        const terminal = planned.state === 'aborted' ? 'aborted' : 'ended';
        return {state: terminal, fraction: 0};
      }
      const timeLeftMs = lastMoveEndMs(configuration, drain) - wallMs;
      return {state: 'returning', fraction: maximumProgress, timeLeftMs};
    }
  }
}

/**
 * Unix time at which all cohorts have left the region if the drain is neither
 * ended nor aborted.
 */
export function computeRegionDrainedAtMs(
  configuration: Configuration,
  drain: Drain,
): number {
  const {endAtMs: _end, abortedAtMs: _aborted, ...open} = drain;
  const others = configuration.drains.filter(other => other.id !== drain.id);
  return lastMoveEndMs({...configuration, drains: [...others, open]}, open);
}

function lastMoveEndMs(configuration: Configuration, drain: Drain): number {
  let endsAtMs = drain.startAtMs;
  for (const move of drainMoves(configuration, drain)) {
    endsAtMs = Math.max(endsAtMs, move.endsAtMs);
  }
  return endsAtMs;
}

function drainMoves(configuration: Configuration, drain: Drain) {
  const {capUtilization: capUse} = defaultSteeringParameters;
  const matching = [];
  for (const services of configuration.workspaces.values()) {
    for (const {workspace, service, policy} of services.values()) {
      const moves = schedulePlannedMoves(
        configuration,
        workspace,
        service,
        policy.shift,
        capUse,
      );
      matching.push(...moves.filter(move => move.id === `drain/${drain.id}`));
    }
  }
  return matching;
}
