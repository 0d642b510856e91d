/**
 * Selects the few targets that are compared for a request. With hundreds of
 * targets per service, computing the cost of each one takes longer than
 * forwarding the request. The targets that rank highest for the key by
 * rendezvous hashing usually include one with a free slot.
 *
 * Load pattern: targets that come and go all the time, as during a release. A
 * key's list is brought up to date by the targets that have changed; ranking
 * all of them anew for each request would cost as much as forwarding it.
 */
import {hash32} from '../hashing/index.js';
import type {RegisteredTarget} from '../fleet_targets/index.js';

export interface RankedTarget {
  readonly target: RegisteredTarget;
  /**
   * Rank among the targets of its region or zone for the key, from 0
   * (preferred); `Infinity` if the target is not ranked.
   */
  readonly rank: number;
}

/** What the targets are ranked within. */
export type ShortlistGrouping = 'region' | 'zone';

export interface TargetShortlist {
  /**
   * Returns the targets of each group that rank highest for the key.
   *
   * @param targets The usable targets of the service. Lists are kept; a
   *     different array is taken for a change of the targets.
   */
  candidates(
    service: string,
    targets: readonly RegisteredTarget[],
    key: string,
  ): readonly RankedTarget[];
}

/**
 * If a tenth of the targets has a free slot, eight random targets include one
 * with 57 % probability, and 24 of three regions with 92 %.
 */
const CANDIDATES_PER_GROUP: Readonly<Record<ShortlistGrouping, number>> = {
  region: 8,
  zone: 4,
};
/** Cached keys per service. */
const MAXIMUM_CACHED_KEYS = 2_000;
/** A key's list that lacks more changes than this is made anew. */
const MAXIMUM_KEPT_CHANGES = 64;

/** One target that came or went. */
type TargetChange =
  | {readonly kind: 'added'; readonly target: RegisteredTarget}
  | {readonly kind: 'removed'; readonly incarnation: string};

interface ScoredTarget {
  readonly target: RegisteredTarget;
  readonly score: number;
}

interface KeyList {
  /** Number of changes of the service's targets that the lists include. */
  changes: number;
  /** Highest score first. */
  readonly byGroup: Map<string, ScoredTarget[]>;
  /** What `byGroup` says, as callers get it. */
  ranked: readonly RankedTarget[];
  /** The array of targets whose objects are in `ranked`. */
  rankedFrom: readonly RegisteredTarget[];
}

interface ServiceCache {
  targets: readonly RegisteredTarget[];
  byIncarnation: ReadonlyMap<string, RegisteredTarget>;
  /** Number of changes so far; the last ones are in `recent`. */
  changes: number;
  recent: readonly TargetChange[];
  readonly byKey: Map<string, KeyList>;
}

export function createTargetShortlist(
  grouping: ShortlistGrouping = 'region',
): TargetShortlist {
  const caches = new Map<string, ServiceCache>();
  const perGroup = CANDIDATES_PER_GROUP[grouping];

  function cacheOf(
    service: string,
    targets: readonly RegisteredTarget[],
  ): ServiceCache {
    const known = caches.get(service);
    if (known?.targets === targets) {
      return known;
    }
    const byIncarnation = new Map<string, RegisteredTarget>();
    for (const target of targets) {
      byIncarnation.set(target.incarnation, target);
    }
    if (!known) {
      const cache: ServiceCache = {
        targets,
        byIncarnation,
        changes: 0,
        recent: [],
        byKey: new Map(),
      };
      caches.set(service, cache);
      return cache;
    }
    const news = changesBetween(known.byIncarnation, byIncarnation, grouping);
    known.targets = targets;
    known.byIncarnation = byIncarnation;
    known.changes += news.length;
    known.recent = [...known.recent, ...news].slice(-MAXIMUM_KEPT_CHANGES);
    return known;
  }

  function candidates(
    service: string,
    targets: readonly RegisteredTarget[],
    key: string,
  ): readonly RankedTarget[] {
    const cache = cacheOf(service, targets);
    const name = `${service} ${key}`;
    let list = cache.byKey.get(key);
    if (!list || !bringUpToDate(name, list, cache)) {
      list = {
        changes: cache.changes,
        byGroup: topPerGroup(name, targets),
        ranked: [],
        rankedFrom: [],
      };
      if (cache.byKey.size >= MAXIMUM_CACHED_KEYS) {
        cache.byKey.clear();
      }
      cache.byKey.set(key, list);
    }
    if (list.rankedFrom !== targets) {
      list.rankedFrom = targets;
      list.ranked = rank(list, cache);
    }
    return list.ranked;
  }

  /** Returns false if the list has to be made anew. */
  function bringUpToDate(
    name: string,
    list: KeyList,
    cache: ServiceCache,
  ): boolean {
    const missing = cache.changes - list.changes;
    if (missing > cache.recent.length) {
      return false;
    }
    for (const change of cache.recent.slice(cache.recent.length - missing)) {
      switch (change.kind) {
        case 'removed':
          // The next one in rank is not known.
          if (isListed(list, change.incarnation)) {
            return false;
          }
          break;
        case 'added':
          insert(list.byGroup, scored(name, change.target));
          break;
      }
    }
    list.changes = cache.changes;
    return true;
  }

  function topPerGroup(
    name: string,
    targets: readonly RegisteredTarget[],
  ): Map<string, ScoredTarget[]> {
    const byGroup = new Map<string, ScoredTarget[]>();
    for (const target of targets) {
      insert(byGroup, scored(name, target));
    }
    return byGroup;
  }

  /** Keeps the best of each group in order. */
  function insert(
    byGroup: Map<string, ScoredTarget[]>,
    candidate: ScoredTarget,
  ): void {
    const group = groupOf(candidate.target, grouping);
    const best = byGroup.get(group);
    if (!best) {
      byGroup.set(group, [candidate]);
      return;
    }
    const last = best.at(-1);
    if (best.length >= perGroup && last && !isBefore(candidate, last)) {
      return;
    }
    const index = best.findIndex(other => isBefore(candidate, other));
    best.splice(index < 0 ? best.length : index, 0, candidate);
    if (best.length > perGroup) {
      best.pop();
    }
  }

  return {candidates};
}

/** Entries of targets change more often than which targets there are. */
function changesBetween(
  before: ReadonlyMap<string, RegisteredTarget>,
  after: ReadonlyMap<string, RegisteredTarget>,
  grouping: ShortlistGrouping,
): readonly TargetChange[] {
  const changes: TargetChange[] = [];
  for (const [incarnation, old] of before) {
    const now = after.get(incarnation);
    if (!now || groupOf(now, grouping) !== groupOf(old, grouping)) {
      changes.push({kind: 'removed', incarnation});
    }
  }
  for (const [incarnation, target] of after) {
    const old = before.get(incarnation);
    if (!old || groupOf(target, grouping) !== groupOf(old, grouping)) {
      changes.push({kind: 'added', target});
    }
  }
  return changes;
}

/** With the targets as they are now: their entries may have changed. */
function rank(
  {byGroup}: KeyList,
  {byIncarnation}: ServiceCache,
): readonly RankedTarget[] {
  const ranked: RankedTarget[] = [];
  for (const best of byGroup.values()) {
    for (const [position, {target}] of best.entries()) {
      const current = byIncarnation.get(target.incarnation);
      if (current) {
        ranked.push({target: current, rank: position});
      }
    }
  }
  return ranked;
}

function isListed({byGroup}: KeyList, incarnation: string): boolean {
  for (const best of byGroup.values()) {
    if (best.some(({target}) => target.incarnation === incarnation)) {
      return true;
    }
  }
  return false;
}

function scored(name: string, target: RegisteredTarget): ScoredTarget {
  return {target, score: hash32(`${name}\n${target.incarnation}`)};
}

function isBefore(one: ScoredTarget, other: ScoredTarget): boolean {
  if (one.score !== other.score) {
    return one.score > other.score;
  }
  return one.target.incarnation < other.target.incarnation;
}

function groupOf(
  target: RegisteredTarget,
  grouping: ShortlistGrouping,
): string {
  switch (grouping) {
    case 'region':
      return target.region;
    case 'zone':
      return target.entry.zone;
  }
}
