/** Tracks when a VM of each region was last heard, directly or by peers. */
import {hash32} from '../hashing/index.js';
import type {RegionName, VmId} from '../model/index.js';

/** Factor of the heartbeat interval for peers in other regions. */
export const CROSS_REGION_INTERVAL_FACTOR = 2;
/** Added to an age per hop for queueing and network delay. */
const HOP_DELAY_ALLOWANCE_MS = 250;
/**
 * With more regions than this, a heartbeat omits regions whose last-heard time
 * advanced little.
 */
const MAXIMUM_REGIONS_SENT_IN_FULL = 8;

/** Unit of the ages in a heartbeat. */
const AGE_UNIT_MS = 100;

export interface RegionAges {
  /** Sets the known regions; ages of other regions are ignored. */
  configure(regions: readonly RegionName[]): void;
  /** Records that a VM of the region was heard at `atMs`. */
  recordHeard(region: RegionName, atMs: number): void;
  mergeAges(ages: readonly (readonly [number, number])[], nowMs: number): void;
  lastHeardMs(region: RegionName): number | undefined;
  /**
   * Returns pairs of region hash and age for a heartbeat to one peer. Omits
   * regions whose last-heard time advanced little since it was last sent to
   * this peer.
   */
  agesFor(
    peer: VmId,
    regionCount: number,
    nowMs: number,
  ): readonly [number, number][];
  forgetPeer(peer: VmId): void;
}

/** Smallest advance of a last-heard time, in ms, that is sent to peers. */
export function minimumReportedAdvanceMs(
  regionCount: number,
  heartbeatIntervalMs: number,
): number {
  return regionCount <= MAXIMUM_REGIONS_SENT_IN_FULL
    ? 0
    : 3 * heartbeatIntervalMs;
}

/**
 * Returns the time without a heartbeat, in ms, after which a region counts as
 * silent. Allows for the hops of a last-heard time over the ring of regions and
 * then within the region of this VM.
 */
export function computeRegionSilenceTimeoutMs(
  vmCount: number,
  regionCount: number,
  heartbeatIntervalMs: number,
  suspectAfterMs: number,
): number {
  const vmsPerRegion = Math.max(1, Math.ceil(vmCount / regionCount));
  const crossRegionHops = Math.ceil(
    Math.log(Math.max(2, regionCount)) / Math.log(3),
  );
  const inRegionHops = Math.ceil(Math.sqrt(vmsPerRegion) / 2);
  const improvementMs = minimumReportedAdvanceMs(
    regionCount,
    heartbeatIntervalMs,
  );
  const inRegionMs = inRegionHops * (heartbeatIntervalMs + improvementMs);
  const crossRegionMs =
    crossRegionHops *
    (CROSS_REGION_INTERVAL_FACTOR * heartbeatIntervalMs + improvementMs);
  return suspectAfterMs + inRegionMs + crossRegionMs;
}

export function createRegionAges(heartbeatIntervalMs: number): RegionAges {
  const heardMs = new Map<RegionName, number>();
  const sent = new Map<VmId, Map<RegionName, number>>();
  let byHash = new Map<number, RegionName>();

  function recordHeard(region: RegionName, atMs: number): void {
    const known = heardMs.get(region) ?? Number.NEGATIVE_INFINITY;
    heardMs.set(region, Math.max(known, atMs));
  }

  return {
    configure: regions => {
      byHash = new Map(regions.map(region => [hash32(region), region]));
    },
    recordHeard,
    mergeAges: (ages, nowMs) => {
      for (const [hash, age] of ages) {
        const region = byHash.get(hash);
        if (region !== undefined) {
          recordHeard(
            region,
            nowMs - age * AGE_UNIT_MS - HOP_DELAY_ALLOWANCE_MS,
          );
        }
      }
    },
    lastHeardMs: region => heardMs.get(region),
    agesFor: (peer, regionCount, nowMs) => {
      const improvementMs = minimumReportedAdvanceMs(
        regionCount,
        heartbeatIntervalMs,
      );
      const sentTo = sent.get(peer) ?? new Map<RegionName, number>();
      sent.set(peer, sentTo);
      const ages: [number, number][] = [];
      for (const [region, atMs] of heardMs) {
        const before = sentTo.get(region) ?? Number.NEGATIVE_INFINITY;
        if (atMs > before && atMs - before >= improvementMs) {
          sentTo.set(region, atMs);
          const age = Math.ceil((nowMs - atMs) / AGE_UNIT_MS);
          ages.push([hash32(region), Math.max(0, age)]);
        }
      }
      return ages;
    },
    forgetPeer: peer => {
      sent.delete(peer);
    },
  };
}
