/** When each region was last heard of, by this VM or by those it hears. */
import type {RegionName, VmId} from '../model/index.js';

/** Beats between regions are this much rarer than within one. */
export const FAR_BEAT_FACTOR = 2;
/** Added to an age for each hop: queues and the way. */
const HOP_ALLOWANCE_MS = 250;
/** With more regions than this, a beat holds only those with news. */
const REGIONS_SENT_ALWAYS = 8;

export interface RegionAges {
  heard(region: RegionName, atMs: number): void;
  take(ages: readonly (readonly [RegionName, number])[], nowMs: number): void;
  lastHeardMs(region: RegionName): number | undefined;
  /** Ages for a beat to one peer, leaving out those with little news. */
  agesFor(
    peer: VmId,
    regionCount: number,
    nowMs: number,
  ): readonly [RegionName, number][];
  forgetPeer(peer: VmId): void;
}

/** Smallest improvement that is passed on. */
export function regionNewsGrainMs(
  regionCount: number,
  heartbeatIntervalMs: number,
): number {
  return regionCount <= REGIONS_SENT_ALWAYS ? 0 : 2 * heartbeatIntervalMs;
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

  function heard(region: RegionName, atMs: number): void {
    const known = heardMs.get(region) ?? Number.NEGATIVE_INFINITY;
    heardMs.set(region, Math.max(known, atMs));
  }

  return {
    heard,
    take: (ages, nowMs) => {
      for (const [region, ageMs] of ages) {
        heard(region, nowMs - ageMs - HOP_ALLOWANCE_MS);
      }
    },
    lastHeardMs: region => heardMs.get(region),
    agesFor: (peer, regionCount, nowMs) => {
      const grainMs = regionNewsGrainMs(regionCount, heartbeatIntervalMs);
      const sentTo = sent.get(peer) ?? new Map<RegionName, number>();
      sent.set(peer, sentTo);
      const ages: [RegionName, number][] = [];
      for (const [region, atMs] of heardMs) {
        const before = sentTo.get(region) ?? Number.NEGATIVE_INFINITY;
        if (atMs > before && atMs - before >= grainMs) {
          sentTo.set(region, atMs);
          ages.push([region, Math.max(0, Math.ceil(nowMs - atMs))]);
        }
      }
      return ages;
    },
    forgetPeer: peer => {
      sent.delete(peer);
    },
  };
}
