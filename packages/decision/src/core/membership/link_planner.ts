/** Selects the peers to which this VM keeps links. */
import type {RegionName, VmId} from '../model/index.js';
import {
  DELEGATES_PER_REGION,
  rankDelegates,
  linkedRegions,
  regionNeighbours,
  usableByRegion,
} from './overlay.js';
import type {VmRecords} from './records.js';

/** Interval at which the next suspected VM of the region is contacted. */
const SUSPECT_PROBE_INTERVAL_MS = 5_000;

export interface LinkPlannerOptions {
  readonly vm: VmId;
  readonly region: RegionName;
  /**
   * Time without a link to another region after which the next of its VMs is
   * tried.
   */
  readonly retryAfterMs: number;
}

export interface LinkPlanner {
  /**
   * Recomputes the wanted peers.
   *
   * @returns Whether they changed.
   */
  updateWantedPeers(nowMs: number, isLinked: (vm: VmId) => boolean): boolean;
  /** Peers to keep links to, each with the time since which it is wanted. */
  wantedPeers(): ReadonlyMap<VmId, number>;
  /** Treats all peers as wanted since `nowMs`; used after a process pause. */
  restartSilenceTimers(nowMs: number): void;
  isDelegate(): boolean;
  regions(): readonly RegionName[];
}

export function createLinkPlanner(
  options: LinkPlannerOptions,
  records: VmRecords,
): LinkPlanner {
  const {vm: self, region: ownRegion} = options;
  /** Per remote region: how many of its VMs were tried, and since when. */
  const attempts = new Map<RegionName, {count: number; sinceMs: number}>();
  let wanted = new Map<VmId, number>();
  let usable: ReadonlyMap<RegionName, readonly VmId[]> = new Map();
  let neighbours: readonly VmId[] = [];
  let suspects: readonly VmId[] = [];
  let remoteRegions: readonly RegionName[] = [];
  let delegateRank = -1;
  let seenChanges = -1;
  let nextProbeMs = 0;
  let probeIndex = 0;

  function refreshFromRecords(): void {
    if (records.changeCount() === seenChanges) {
      return;
    }
    seenChanges = records.changeCount();
    usable = usableByRegion(records.all(), self);
    const own = usable.get(ownRegion) ?? [];
    neighbours = regionNeighbours(own, self);
    delegateRank = rankDelegates(ownRegion, own).indexOf(self);
    remoteRegions = linkedRegions([...usable.keys()], ownRegion);
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
    return delegateRank >= 0 && delegateRank < DELEGATES_PER_REGION;
  }

  function delegateLink(region: RegionName): VmId | undefined {
    const candidates = rankDelegates(region, usable.get(region) ?? []);
    const count = attempts.get(region)?.count ?? 0;
    return candidates[(delegateRank + count) % Math.max(1, candidates.length)];
  }

  function updateAttempt(
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

  function updateWantedPeers(
    nowMs: number,
    isLinked: (vm: VmId) => boolean,
  ): boolean {
    refreshFromRecords();
    const links = new Set(neighbours);
    if (isDelegate()) {
      for (const region of remoteRegions) {
        updateAttempt(region, nowMs, isLinked);
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
    updateWantedPeers,
    wantedPeers: () => wanted,
    restartSilenceTimers: nowMs => {
      wanted = new Map([...wanted.keys()].map(vm => [vm, nowMs]));
    },
    isDelegate,
    regions: () => [...usable.keys()],
  };
}
