/**
 * Selects the few targets that are compared for a request. With hundreds of
 * targets per service, computing the cost of each one takes longer than
 * forwarding the request. The targets that rank highest for the key by
 * rendezvous hashing usually include one with a free slot.
 */
import {hash32} from '../hashing/index.js';
import type {RegisteredTarget} from '../fleet_targets/index.js';

export interface RankedTarget {
  readonly target: RegisteredTarget;
  /**
   * Rank among the targets of its region for the key, from 0 (preferred);
   * `Infinity` if the target is not ranked.
   */
  readonly rank: number;
}

export interface TargetShortlist {
  /**
   * Returns the targets of each region that rank highest for the key.
   *
   * @param targets The usable targets of the service. Results are cached until
   *     a different array is passed.
   */
  candidates(
    service: string,
    targets: readonly RegisteredTarget[],
    key: string,
  ): readonly RankedTarget[];
}

/**
 * Candidates per region. If a tenth of the targets has a free slot, eight
 * random targets include one with 57 % probability, and 24 of three regions
 * with 92 %.
 */
const CANDIDATES_PER_REGION = 8;
/** Cached keys per service. */
const MAXIMUM_CACHED_KEYS = 2_000;

interface ServiceCache {
  readonly targets: readonly RegisteredTarget[];
  readonly byKey: Map<string, readonly RankedTarget[]>;
}

export function createTargetShortlist(): TargetShortlist {
  const caches = new Map<string, ServiceCache>();

  function cacheOf(
    service: string,
    targets: readonly RegisteredTarget[],
  ): ServiceCache {
    const known = caches.get(service);
    if (known?.targets === targets) {
      return known;
    }
    const cache: ServiceCache = {targets, byKey: new Map()};
    caches.set(service, cache);
    return cache;
  }

  function candidates(
    service: string,
    targets: readonly RegisteredTarget[],
    key: string,
  ): readonly RankedTarget[] {
    const {byKey} = cacheOf(service, targets);
    const known = byKey.get(key);
    if (known) {
      return known;
    }
    const found = topPerRegion(`${service} ${key}`, targets);
    if (byKey.size >= MAXIMUM_CACHED_KEYS) {
      byKey.clear();
    }
    byKey.set(key, found);
    return found;
  }

  return {candidates};
}

function topPerRegion(
  key: string,
  targets: readonly RegisteredTarget[],
): readonly RankedTarget[] {
  const scored = targets.map(target => ({
    target,
    score: hash32(`${key}\n${target.incarnation}`),
  }));
  scored.sort(
    (one, other) =>
      other.score - one.score ||
      (one.target.incarnation < other.target.incarnation ? -1 : 1),
  );
  const ranked = new Map<string, number>();
  const found: RankedTarget[] = [];
  for (const {target} of scored) {
    const rank = ranked.get(target.region) ?? 0;
    ranked.set(target.region, rank + 1);
    if (rank < CANDIDATES_PER_REGION) {
      found.push({target, rank});
    }
  }
  return found;
}
