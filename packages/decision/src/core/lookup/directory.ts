/**
 * Chooses entry VMs for callers from the configuration and the membership
 * view. What each region and cohort is answered is kept until either changes.
 */
import {type Either, Left, Right} from 'purify-ts';
import {rankByRendezvous} from '../hashing/index.js';
import type {
  Configuration,
  Drain,
  EntryVm,
  MembershipView,
  RegionName,
  VmId,
} from '../model/index.js';
import {type RegionChooser, createRegionChooser} from './region_choice.js';
import type {
  LookupResult,
  LookupChoice,
  LookupQuery,
  LookupRefusal,
} from './types.js';

const REGION_WEIGHT = 100;
const OTHER_REGION_WEIGHT = 0;

export interface EntryVmDirectory {
  configurationAccepted(configuration: Configuration): void;
  membershipChanged(view: MembershipView): void;
  /** @param wallMs Unix time in milliseconds, for planned shifts and drains. */
  answer(
    query: LookupQuery,
    wallMs: number,
  ): Either<LookupRefusal, LookupResult>;
}

/** @param maximumVms Most entry VMs in one answer. */
export function createEntryVmDirectory(maximumVms: number): EntryVmDirectory {
  let configuration: Configuration | undefined;
  let regions: RegionChooser | undefined;
  let view: MembershipView | undefined;
  let remembered = new Map<string, readonly LookupChoice[]>();

  function forget(): void {
    remembered = new Map();
  }

  function isUsable(vm: EntryVm, wallMs: number): boolean {
    const state = view?.vms.get(vm.id)?.state;
    return state === 'live' && !isDraining(configuration!.drains, vm, wallMs);
  }

  function choicesFor(
    region: RegionName,
    cohort: number,
    wallMs: number,
  ): readonly LookupChoice[] {
    const key = `${region}/${cohort}`;
    const known = remembered.get(key);
    if (known && known.every(choice => isUsable(choice.vm, wallMs))) {
      return known;
    }
    const choices = chooseVms(region, cohort, wallMs);
    remembered.set(key, choices);
    return choices;
  }

  /** The region's own VMs, the best of another region behind them. */
  function chooseVms(
    region: RegionName,
    cohort: number,
    wallMs: number,
  ): readonly LookupChoice[] {
    const near: VmId[] = [];
    const far: VmId[] = [];
    for (const vm of configuration!.entryVms.values()) {
      if (!isUsable(vm, wallMs)) {
        continue;
      }
      if (vm.region === region) {
        near.push(vm.id);
      } else {
        far.push(vm.id);
      }
    }
    const key = `cohort ${cohort}`;
    const nearest = rankByRendezvous(key, near);
    const nearCount = far.length > 0 ? maximumVms - 1 : maximumVms;
    const chosen = nearest.slice(0, Math.max(1, nearCount));
    const spare = rankByRendezvous(key, far);
    return [
      ...chosen.map(id => choiceOf(id, REGION_WEIGHT)),
      ...spare
        .slice(0, maximumVms - chosen.length)
        .map(id =>
          choiceOf(id, chosen.length > 0 ? OTHER_REGION_WEIGHT : REGION_WEIGHT),
        ),
    ];
  }

  function choiceOf(id: VmId, weight: number): LookupChoice {
    return {vm: configuration!.entryVms.get(id)!, weight};
  }

  function answer(
    query: LookupQuery,
    wallMs: number,
  ): Either<LookupRefusal, LookupResult> {
    if (!configuration || !regions || !view) {
      return Left('no-configuration');
    }
    const services = configuration.workspaces.get(query.workspace);
    if (!services) {
      return Left('unknown-workspace');
    }
    if (!services.has(query.service)) {
      return Left('unknown-service');
    }
    const region = regions.regionFor(query, wallMs);
    const choices = choicesFor(region, query.location.cohort, wallMs);
    if (choices.length === 0) {
      return Left('no-entry-vm');
    }
    return Right({generation: configuration.generation, choices});
  }

  return {
    configurationAccepted: accepted => {
      configuration = accepted;
      regions = createRegionChooser(accepted);
      forget();
    },
    membershipChanged: changed => {
      view = changed;
      forget();
    },
    answer: answer,
  };
}

function isDraining(
  drains: readonly Drain[],
  vm: EntryVm,
  wallMs: number,
): boolean {
  for (const drain of drains) {
    const begun = drain.startAtMs <= wallMs && drain.abortedAtMs === undefined;
    const over = drain.endAtMs !== undefined && drain.endAtMs <= wallMs;
    if (!begun || over) {
      continue;
    }
    if (drain.scope.kind === 'entry-vm' && drain.scope.vm === vm.id) {
      return true;
    }
  }
  return false;
}
