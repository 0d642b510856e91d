/**
 * Decides where the targets remember an affinity key: at one target of its
 * region, or at one target of each availability zone of that region. Load
 * pattern: large responses that most VMs would fetch across a zone border,
 * since a region has one target for the key and several zones.
 */
import type {RegisteredTarget} from '../fleet_targets/index.js';

/** Targets among which rendezvous hashing chooses the one for a key. */
export type KeyHome =
  | {readonly kind: 'region'; readonly region: string}
  | {readonly kind: 'zone'; readonly zone: string};

export interface KeyHomeRequest {
  readonly service: string;
  /** Region that runs the requests for the key. */
  readonly assignedRegion: string;
  /** Moving average of the response size; 0 if unknown. */
  readonly responseBytes: number;
  /** Whether responses are large, as far as the route's kind tells. */
  readonly isDownload: boolean;
}

export interface KeyHomes {
  /**
   * @param targets The usable targets of the service. Counts are cached until a
   *     different array is passed.
   */
  homeOf(
    request: KeyHomeRequest,
    targets: readonly RegisteredTarget[],
  ): KeyHome;
}

export interface KeyHomesOptions {
  /** Location of this VM. */
  readonly zone: string;
  readonly region: string;
}

/**
 * Below this size, the extra cache misses of a copy in each zone cost more than
 * the bytes that they keep within the zone.
 */
const LARGE_RESPONSE_BYTES = 32_768;
/**
 * Fewer targets than this do not remember all keys that are asked for in their
 * zone, and would push them out of each other's caches.
 */
const MINIMUM_TARGETS_PER_ZONE = 4;

interface ZoneCount {
  readonly targets: readonly RegisteredTarget[];
  readonly count: number;
}

export function createKeyHomes({zone, region}: KeyHomesOptions): KeyHomes {
  const countByService = new Map<string, ZoneCount>();

  function targetsInZone(
    service: string,
    targets: readonly RegisteredTarget[],
  ): number {
    const known = countByService.get(service);
    if (known?.targets === targets) {
      return known.count;
    }
    let count = 0;
    for (const target of targets) {
      if (target.entry.zone === zone) {
        count += 1;
      }
    }
    countByService.set(service, {targets, count});
    return count;
  }

  return {
    homeOf: (request, targets) => {
      const {service, assignedRegion} = request;
      // Another region's target for the key remembers it for its own VMs too.
      const isHere = assignedRegion === region;
      if (
        isHere &&
        hasLargeResponses(request) &&
        targetsInZone(service, targets) >= MINIMUM_TARGETS_PER_ZONE
      ) {
        return {kind: 'zone', zone};
      }
      return {kind: 'region', region: assignedRegion};
    },
  };
}

function hasLargeResponses({
  responseBytes,
  isDownload,
}: KeyHomeRequest): boolean {
  return responseBytes > 0 ? responseBytes >= LARGE_RESPONSE_BYTES : isDownload;
}
