/**
 * The few targets that a request is weighed against. Answers the pattern of
 * fleets with hundreds of targets a service, where weighing each of them for
 * each request takes longer than forwarding it: the targets that rank first
 * for the key by rendezvous hashing are enough to find one with room.
 */
import {hash32} from '../hashing/index.js';
import type {RegisteredTarget} from '../fleet_targets/index.js';

export interface Candidate {
  readonly target: RegisteredTarget;
  /** Place in its region for the key; 0 is the key's own target. */
  readonly rank: number;
}

export interface TargetShortlist {
  /**
   * @param targets The usable targets of the service; the same array as long
   *     as they are the same.
   */
  candidates(
    service: string,
    targets: readonly RegisteredTarget[],
    key: string,
  ): readonly Candidate[];
}

/**
 * Candidates of each region: of eight chosen at random, one nearly always has
 * room while any tenth of the targets has.
 */
const CANDIDATES_PER_REGION = 8;
/** Keys of a service whose candidates are kept. */
const MAXIMUM_CACHED_KEYS = 2_000;

interface ServiceCache {
  readonly targets: readonly RegisteredTarget[];
  readonly byKey: Map<string, readonly Candidate[]>;
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
  ): readonly Candidate[] {
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
): readonly Candidate[] {
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
  const found: Candidate[] = [];
  for (const {target} of scored) {
    const rank = ranked.get(target.region) ?? 0;
    ranked.set(target.region, rank + 1);
    if (rank < CANDIDATES_PER_REGION) {
      found.push({target, rank});
    }
  }
  return found;
}
