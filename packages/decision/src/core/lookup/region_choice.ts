/** Which region a caller's block is steered to at a moment. */
import {rankByRendezvous} from '../hashing/index.js';
import type {Configuration, RegionName, Shift} from '../model/index.js';
import {COHORT_COUNT, type LookupQuery} from './types.js';

/**
 * A planned shift moves cohorts one after another, so that a block moves once
 * and stays: cohort numbers below the moved fraction of all are in `to`.
 *
 * @param wallMs Unix time in milliseconds.
 */
export function steeredRegion(
  configuration: Configuration,
  query: LookupQuery,
  wallMs: number,
): RegionName {
  const home = query.place.homeRegion ?? regionOfUnknown(configuration, query);
  for (const shift of configuration.shifts) {
    if (
      appliesTo(shift, query, home) &&
      isMoved(configuration, shift, query, wallMs)
    ) {
      return shift.to;
    }
  }
  return home;
}

function regionOfUnknown(
  configuration: Configuration,
  query: LookupQuery,
): RegionName {
  const key = `cohort ${query.place.cohort}`;
  return rankByRendezvous(key, configuration.regions.keys())[0]!;
}

function appliesTo(
  shift: Shift,
  query: LookupQuery,
  home: RegionName,
): boolean {
  if (shift.workspace !== query.workspace || shift.from !== home) {
    return false;
  }
  return shift.service === undefined || shift.service === query.service;
}

function isMoved(
  configuration: Configuration,
  shift: Shift,
  query: LookupQuery,
  wallMs: number,
): boolean {
  const policy = configuration.workspaces
    .get(query.workspace)
    ?.get(query.service)?.policy;
  if (!policy) {
    return false;
  }
  const untilMs = shift.abortedAtMs ?? wallMs;
  const steps = Math.floor(
    (untilMs - shift.startAtMs) / policy.shift.intervalMs,
  );
  if (untilMs < shift.startAtMs) {
    return false;
  }
  const allowed = (steps + 1) * policy.shift.capFraction;
  const fraction = Math.min(shift.fraction, allowed);
  return query.place.cohort < fraction * COHORT_COUNT;
}
