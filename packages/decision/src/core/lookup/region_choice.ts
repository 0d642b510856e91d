/** Chooses the region that serves a caller at a given time. */
import {rankByRendezvous} from '../hashing/index.js';
import type {Configuration, RegionName} from '../model/index.js';
import {
  type PlannedMove,
  schedulePlannedMoves,
  findRegionAfterMoves,
} from '../shifts/index.js';
import {defaultSteeringParameters} from '../steering/parameters.js';
import type {LookupQuery} from './types.js';

/** Applies the same planned moves as request forwarding, on the same clock. */
export interface RegionChooser {
  /** @param wallMs Unix time in milliseconds. */
  chooseRegion(query: LookupQuery, wallMs: number): RegionName;
}

export function createRegionChooser(
  configuration: Configuration,
): RegionChooser {
  const movesByService = new Map<string, readonly PlannedMove[]>();

  function movesFor(query: LookupQuery): readonly PlannedMove[] {
    const key = `${query.workspace}/${query.service}`;
    const known = movesByService.get(key);
    if (known) {
      return known;
    }
    const policy = configuration.workspaces
      .get(query.workspace)
      ?.get(query.service)?.policy;
    const moves = policy
      ? schedulePlannedMoves(
          configuration,
          query.workspace,
          query.service,
          policy.shift,
          defaultSteeringParameters.capUtilization,
        )
      : [];
    movesByService.set(key, moves);
    return moves;
  }

  function chooseRegion(query: LookupQuery, wallMs: number): RegionName {
    const {homeRegion, cohort} = query.location;
    const home = homeRegion ?? regionForUnknownClient(configuration, cohort);
    const moves = movesFor(query);
    if (moves.length === 0) {
      return home;
    }
    return findRegionAfterMoves(configuration, moves, home, cohort, wallMs);
  }

  return {chooseRegion};
}

function regionForUnknownClient(
  configuration: Configuration,
  cohort: number,
): RegionName {
  const key = `cohort ${cohort}`;
  return rankByRendezvous(key, configuration.regions.keys())[0]!;
}
