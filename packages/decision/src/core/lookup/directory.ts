/**
 * Chooses entry VMs for callers from the configuration and the membership view.
 * The choices for each region and cohort are cached until either changes.
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
  LookupChoice,
  LookupQuery,
  LookupRefusal,
  LookupResult,
} from './types.js';

const PRIMARY_WEIGHT = 100;
const FALLBACK_WEIGHT = 0;

export interface EntryVmDirectory {
  /** Replaces the configuration and clears the cached choices. */
  setConfiguration(configuration: Configuration): void;
  /** Replaces the membership view and clears the cached choices. */
  setMembershipView(view: MembershipView): void;
  /**
   * Looks up the entry VMs that a caller should use.
   *
   * @param wallMs Unix time in milliseconds, for planned shifts and drains.
   */
  answer(
    query: LookupQuery,
    wallMs: number,
  ): Either<LookupRefusal, LookupResult>;
}

/** @param maximumVms Maximum number of entry VMs in one result. */
export function createEntryVmDirectory(maximumVms: number): EntryVmDirectory {
  let configuration: Configuration | undefined;
  let regions: RegionChooser | undefined;
  let view: MembershipView | undefined;
  let cachedChoices = new Map<string, readonly LookupChoice[]>();

  function clearCache(): void {
    cachedChoices = new Map();
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
    const cached = cachedChoices.get(key);
    if (cached && cached.every(choice => isUsable(choice.vm, wallMs))) {
      return cached;
    }
    const choices = chooseVms(region, cohort, wallMs);
    cachedChoices.set(key, choices);
    return choices;
  }

  /**
   * VMs of the region, followed by VMs of other regions as a fallback. If the
   * result may hold more than one VM, its last place is kept for a fallback.
   */
  function chooseVms(
    region: RegionName,
    cohort: number,
    wallMs: number,
  ): readonly LookupChoice[] {
    const localVms: VmId[] = [];
    const remoteVms: VmId[] = [];
    for (const vm of configuration!.entryVms.values()) {
      if (!isUsable(vm, wallMs)) {
        continue;
      }
      if (vm.region === region) {
        localVms.push(vm.id);
      } else {
        remoteVms.push(vm.id);
      }
    }
    const key = `cohort ${cohort}`;
    const rankedLocal = rankByRendezvous(key, localVms);
    const localLimit = remoteVms.length > 0 ? maximumVms - 1 : maximumVms;
    const chosen = rankedLocal.slice(0, Math.max(1, localLimit));
    const rankedRemote = rankByRendezvous(key, remoteVms);
    return [
      ...chosen.map(id => choiceOf(id, PRIMARY_WEIGHT)),
      ...rankedRemote
        .slice(0, maximumVms - chosen.length)
        .map(id =>
          choiceOf(id, chosen.length > 0 ? FALLBACK_WEIGHT : PRIMARY_WEIGHT),
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
    const region = regions.chooseRegion(query, wallMs);
    const choices = choicesFor(region, query.location.cohort, wallMs);
    if (choices.length === 0) {
      return Left('no-entry-vm');
    }
    return Right({generation: configuration.generation, choices});
  }

  return {
    setConfiguration: accepted => {
      configuration = accepted;
      regions = createRegionChooser(accepted);
      clearCache();
    },
    setMembershipView: changed => {
      view = changed;
      clearCache();
    },
    answer,
  };
}

function isDraining(
  drains: readonly Drain[],
  vm: EntryVm,
  wallMs: number,
): boolean {
  for (const drain of drains) {
    const hasStarted =
      drain.startAtMs <= wallMs && drain.abortedAtMs === undefined;
    const hasEnded = drain.endAtMs !== undefined && drain.endAtMs <= wallMs;
    if (!hasStarted || hasEnded) {
      continue;
    }
    if (drain.scope.kind === 'entry-vm' && drain.scope.vm === vm.id) {
      return true;
    }
  }
  return false;
}
