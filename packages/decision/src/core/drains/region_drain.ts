/**
 * Progress of a drain as the VMs carry it out. A region's drain moves cohorts
 * of each workspace and service under the shift cap of each, so that it may
 * last longer than its ramp; other drains follow their ramp alone.
 */
import type {Configuration, Drain} from '../model/index.js';
import {plannedMoves} from '../shifts/index.js';
import {defaultSteeringParameters} from '../steering/parameters.js';
import {type DrainProgress, drainProgress} from './drain_progress.js';

/** @param wallMs Unix time in milliseconds. */
export function drainProgressIn(
  configuration: Configuration,
  drain: Drain,
  wallMs: number,
): DrainProgress {
  const planned = drainProgress(drain, wallMs);
  if (drain.scope.kind !== 'region') {
    return planned;
  }
  const moves = movesOf(configuration, drain);
  let least = 1;
  let most = 0;
  for (const move of moves) {
    least = Math.min(least, move.progress(wallMs));
    most = Math.max(most, move.progress(wallMs));
  }
  switch (planned.state) {
    case 'planned':
      return planned;
    case 'ramping':
    case 'drained': {
      if (least >= 1) {
        return {...planned, state: 'drained', fraction: 1};
      }
      const timeLeftMs = regionDrainedAtMs(configuration, drain) - wallMs;
      return {state: 'ramping', fraction: least, timeLeftMs};
    }
    case 'returning':
    case 'ended':
    case 'aborted': {
      if (most <= 0) {
        const over = planned.state === 'aborted' ? 'aborted' : 'ended';
        return {state: over, fraction: 0};
      }
      const timeLeftMs = lastEndMs(configuration, drain) - wallMs;
      return {state: 'returning', fraction: most, timeLeftMs};
    }
  }
}

/** Unix time at which the last workspace and service has left the region. */
export function regionDrainedAtMs(
  configuration: Configuration,
  drain: Drain,
): number {
  const {endAtMs: _end, abortedAtMs: _aborted, ...open} = drain;
  const others = configuration.drains.filter(other => other.id !== drain.id);
  return lastEndMs({...configuration, drains: [...others, open]}, open);
}

function lastEndMs(configuration: Configuration, drain: Drain): number {
  let endsAtMs = drain.startAtMs;
  for (const move of movesOf(configuration, drain)) {
    endsAtMs = Math.max(endsAtMs, move.endsAtMs);
  }
  return endsAtMs;
}

function movesOf(configuration: Configuration, drain: Drain) {
  const {capUtilization: capUse} = defaultSteeringParameters;
  const found = [];
  for (const services of configuration.workspaces.values()) {
    for (const {workspace, service, policy} of services.values()) {
      const moves = plannedMoves(
        configuration,
        workspace,
        service,
        policy.shift,
        capUse,
      );
      found.push(...moves.filter(move => move.id === `drain/${drain.id}`));
    }
  }
  return found;
}
