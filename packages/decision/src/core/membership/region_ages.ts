/** When each region was last heard of, by this VM or by those it hears. */
import {hash32} from '../hashing/index.js';
import type {RegionName, VmId} from '../model/index.js';

/** Beats between regions are this much rarer than within one. */
export const FAR_BEAT_FACTOR = 2;
/** Added to an age for each hop: queues and the way. */
const HOP_ALLOWANCE_MS = 250;
/** With more regions than this, a beat holds only those with news. */
const REGIONS_SENT_ALWAYS = 8;

/** Unit of the ages in a beat. */
const AGE_UNIT_MS = 100;

export interface RegionAges {
  /** The regions there are; ages of others are passed over. */
  configure(regions: readonly RegionName[]): void;
  heard(region: RegionName, atMs: number): void;
  take(ages: readonly (readonly [number, number])[], nowMs: number): void;
  lastHeardMs(region: RegionName): number | undefined;
  /** Ages for a beat to one peer, leaving out those with little news. */
  agesFor(
    peer: VmId,
    regionCount: number,
    nowMs: number,
  ): readonly [number, number][];
  forgetPeer(peer: VmId): void;
}

/** Smallest improvement that is passed on. */
export function regionNewsGrainMs(
  regionCount: number,
  heartbeatIntervalMs: number,
): number {
  return regionCount <= REGIONS_SENT_ALWAYS ? 0 : 3 * heartbeatIntervalMs;
}

/**
 * How long a region may be unheard of before it counts as silent: news of it
 * comes over the delegates' ring of regions and then through this region.
 */
export function silentAfterMs(
  vmCount: number,
  regionCount: number,
  heartbeatIntervalMs: number,
  suspectAfterMs: number,
): number {
  const vmsPerRegion = Math.max(1, Math.ceil(vmCount / regionCount));
  const farHops = Math.ceil(Math.log(Math.max(2, regionCount)) / Math.log(3));
  const nearHops = Math.ceil(Math.sqrt(vmsPerRegion) / 2);
  const grainMs = regionNewsGrainMs(regionCount, heartbeatIntervalMs);
  const nearMs = nearHops * (heartbeatIntervalMs + grainMs);
  const farMs = farHops * (FAR_BEAT_FACTOR * heartbeatIntervalMs + grainMs);
  return suspectAfterMs + nearMs + farMs;
}

export function createRegionAges(heartbeatIntervalMs: number): RegionAges {
  const heardMs = new Map<RegionName, number>();
  const sent = new Map<VmId, Map<RegionName, number>>();
  let byHash = new Map<number, RegionName>();

  function heard(region: RegionName, atMs: number): void {
    const known = heardMs.get(region) ?? Number.NEGATIVE_INFINITY;
    heardMs.set(region, Math.max(known, atMs));
  }

  return {
    configure: regions => {
      byHash = new Map(regions.map(region => [hash32(region), region]));
    },
    heard,
    take: (ages, nowMs) => {
      for (const [hash, age] of ages) {
        const region = byHash.get(hash);
        if (region !== undefined) {
          heard(region, nowMs - age * AGE_UNIT_MS - HOP_ALLOWANCE_MS);
        }
      }
    },
    lastHeardMs: region => heardMs.get(region),
    agesFor: (peer, regionCount, nowMs) => {
      const grainMs = regionNewsGrainMs(regionCount, heartbeatIntervalMs);
      const sentTo = sent.get(peer) ?? new Map<RegionName, number>();
      sent.set(peer, sentTo);
      const ages: [number, number][] = [];
      for (const [region, atMs] of heardMs) {
        const before = sentTo.get(region) ?? Number.NEGATIVE_INFINITY;
        if (atMs > before && atMs - before >= grainMs) {
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
