/** Progress of a planned drain as a function of its fields and the time. */
import type {Drain} from '../model/index.js';

/** `returning`: ended or aborted, but the fraction is still above 0. */
export type DrainState =
  'planned' | 'ramping' | 'drained' | 'returning' | 'ended' | 'aborted';

export interface DrainProgress {
  readonly state: DrainState;
  /** Fraction of the scope that takes no new requests, 0 to 1. */
  readonly fraction: number;
  /** Time until the next state; absent when none is planned. */
  readonly timeLeftMs?: number;
}

/** @param wallMs Unix time in milliseconds. */
export function computeDrainProgress(
  drain: Drain,
  wallMs: number,
): DrainProgress {
  const fraction = computeDrainedFraction(drain, wallMs);
  const terminal = terminalState(drain, wallMs);
  if (terminal) {
    return fraction > 0
      ? {state: 'returning', fraction, timeLeftMs: fraction * drain.rampMs}
      : {state: terminal, fraction};
  }
  if (wallMs < drain.startAtMs) {
    return {state: 'planned', fraction, timeLeftMs: drain.startAtMs - wallMs};
  }
  if (fraction < 1) {
    const timeLeftMs = drain.startAtMs + drain.rampMs - wallMs;
    return {state: 'ramping', fraction, timeLeftMs};
  }
  const timeLeftMs =
    drain.endAtMs === undefined ? undefined : drain.endAtMs - wallMs;
  return {state: 'drained', fraction, timeLeftMs};
}

function terminalState(
  drain: Drain,
  wallMs: number,
): 'ended' | 'aborted' | undefined {
  if (drain.abortedAtMs !== undefined && wallMs >= drain.abortedAtMs) {
    return 'aborted';
  }
  if (drain.endAtMs !== undefined && wallMs >= drain.endAtMs) {
    return 'ended';
  }
  return undefined;
}

/** Whether the drain has been neither ended nor aborted by this time. */
export function isDrainOpen(drain: Drain, wallMs: number): boolean {
  return terminalState(drain, wallMs) === undefined;
}

/** Drained fraction of the scope, 0 to 1; ramps up and down linearly. */
export function computeDrainedFraction(drain: Drain, wallMs: number): number {
  const stopMs = Math.min(
    drain.endAtMs ?? Infinity,
    drain.abortedAtMs ?? Infinity,
  );
  const reachedFraction = rampFraction(drain, Math.min(wallMs, stopMs));
  if (wallMs <= stopMs) {
    return reachedFraction;
  }
  if (drain.rampMs === 0) {
    return 0;
  }
  return Math.max(0, reachedFraction - (wallMs - stopMs) / drain.rampMs);
}

function rampFraction(drain: Drain, wallMs: number): number {
  const sinceMs = wallMs - drain.startAtMs;
  if (sinceMs < 0) {
    return 0;
  }
  return drain.rampMs === 0 ? 1 : Math.min(1, sinceMs / drain.rampMs);
}
