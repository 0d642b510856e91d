/** Which links this VM wants now, revised when the records change. */
import type {RegionName, VmId} from '../model/index.js';
import {
  DELEGATES_PER_REGION,
  delegatesOf,
  linkedRegions,
  regionNeighbours,
  usableByRegion,
} from './overlay.js';
import type {VmRecords} from './records.js';

/** A suspect of the own region is dialled again this often. */
const SUSPECT_PROBE_INTERVAL_MS = 5_000;

export interface LinkPlannerOptions {
  readonly vm: VmId;
  readonly region: RegionName;
  /** Another VM of a region is tried when one does not answer for so long. */
  readonly retryAfterMs: number;
}

export interface LinkPlanner {
  /** @returns Whether the wanted links changed. */
  review(nowMs: number, isLinked: (vm: VmId) => boolean): boolean;
  wanted(): ReadonlyMap<VmId, number>;
  /** Gives the peers a full term again, after this process was paused. */
  restartTerms(nowMs: number): void;
  isDelegate(): boolean;
  regions(): readonly RegionName[];
}

export function createLinkPlanner(
  options: LinkPlannerOptions,
  records: VmRecords,
): LinkPlanner {
  const {vm: self, region: ownRegion} = options;
  /** Links to other regions: which of the region's VMs is tried, since when. */
  const attempts = new Map<RegionName, {count: number; sinceMs: number}>();
  /** With the time since which each is wanted. */
  let wanted = new Map<VmId, number>();
  let usable: ReadonlyMap<RegionName, readonly VmId[]> = new Map();
  let neighbours: readonly VmId[] = [];
  let suspects: readonly VmId[] = [];
  let farRegions: readonly RegionName[] = [];
  let place = -1;
  let seenChanges = -1;
  let nextProbeMs = 0;
  let probeIndex = 0;

  function readRecords(): void {
    if (records.changes() === seenChanges) {
      return;
    }
    seenChanges = records.changes();
    usable = usableByRegion(records.all(), self);
    const own = usable.get(ownRegion) ?? [];
    neighbours = regionNeighbours(own, self);
    place = delegatesOf(ownRegion, own).indexOf(self);
    farRegions = linkedRegions([...usable.keys()], ownRegion);
    suspects = suspectsOfRegion();
  }

  function suspectsOfRegion(): readonly VmId[] {
    const found: VmId[] = [];
    for (const record of records.all()) {
      if (record.region === ownRegion && record.state === 'suspect') {
        found.push(record.vm);
      }
    }
    return found;
  }

  function isDelegate(): boolean {
    return place >= 0 && place < DELEGATES_PER_REGION;
  }

  function delegateLink(region: RegionName): VmId | undefined {
    const theirs = delegatesOf(region, usable.get(region) ?? []);
    const count = attempts.get(region)?.count ?? 0;
    return theirs[(place + count) % Math.max(1, theirs.length)];
  }

  function reviewAttempt(
    region: RegionName,
    nowMs: number,
    isLinked: (vm: VmId) => boolean,
  ): void {
    const attempt = attempts.get(region) ?? {count: 0, sinceMs: nowMs};
    attempts.set(region, attempt);
    const vm = delegateLink(region);
    if (vm !== undefined && isLinked(vm)) {
      attempt.sinceMs = nowMs;
    } else if (nowMs - attempt.sinceMs > options.retryAfterMs) {
      attempt.count += 1;
      attempt.sinceMs = nowMs;
    }
  }

  function suspectToProbe(nowMs: number): VmId | undefined {
    if (nowMs >= nextProbeMs) {
      nextProbeMs = nowMs + SUSPECT_PROBE_INTERVAL_MS;
      probeIndex += 1;
    }
    return suspects[probeIndex % Math.max(1, suspects.length)];
  }

  function review(nowMs: number, isLinked: (vm: VmId) => boolean): boolean {
    readRecords();
    const links = new Set(neighbours);
    if (isDelegate()) {
      for (const region of farRegions) {
        reviewAttempt(region, nowMs, isLinked);
        const vm = delegateLink(region);
        if (vm !== undefined) {
          links.add(vm);
        }
      }
    }
    const probe = suspectToProbe(nowMs);
    if (probe !== undefined) {
      links.add(probe);
    }
    const before = wanted;
    wanted = new Map();
    let changed = links.size !== before.size;
    for (const vm of links) {
      changed ||= !before.has(vm);
      wanted.set(vm, before.get(vm) ?? nowMs);
    }
    return changed;
  }

  return {
    review,
    wanted: () => wanted,
    restartTerms: nowMs => {
      wanted = new Map([...wanted.keys()].map(vm => [vm, nowMs]));
    },
    isDelegate,
    regions: () => [...usable.keys()],
  };
}
