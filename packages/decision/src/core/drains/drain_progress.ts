/** How far a planned drain is; a function of its fields and the time. */
import type {Drain} from '../model/index.js';

export type DrainState =
  'planned' | 'ramping' | 'drained' | 'ended' | 'aborted';

export interface DrainProgress {
  readonly state: DrainState;
  /** Part of the scope that takes no new work, 0 to 1. */
  readonly fraction: number;
  /** Milliseconds to the next state; absent when none is planned. */
  readonly timeLeftMs?: number;
}

/** @param wallMs Unix time in milliseconds. */
export function drainProgress(drain: Drain, wallMs: number): DrainProgress {
  if (drain.abortedAtMs !== undefined && wallMs >= drain.abortedAtMs) {
    return {state: 'aborted', fraction: 0};
  }
  if (drain.endAtMs !== undefined && wallMs >= drain.endAtMs) {
    return {state: 'ended', fraction: 0};
  }
  if (wallMs < drain.startAtMs) {
    return {
      state: 'planned',
      fraction: 0,
      timeLeftMs: drain.startAtMs - wallMs,
    };
  }
  const elapsedMs = wallMs - drain.startAtMs;
  if (elapsedMs < drain.rampMs) {
    return {
      state: 'ramping',
      fraction: elapsedMs / drain.rampMs,
      timeLeftMs: drain.rampMs - elapsedMs,
    };
  }
  return {
    state: 'drained',
    fraction: 1,
    timeLeftMs:
      drain.endAtMs === undefined ? undefined : drain.endAtMs - wallMs,
  };
}

/** Whether the drain still has, or will have, an effect. */
export function isDrainOpen(drain: Drain, wallMs: number): boolean {
  const {state} = drainProgress(drain, wallMs);
  return state === 'planned' || state === 'ramping' || state === 'drained';
}
