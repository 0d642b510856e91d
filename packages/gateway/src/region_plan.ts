/**
 * Computes which fraction of this region's requests goes to which region, from
 * the demand reported by the VMs and the slots of listed targets.
 */
import {
  type DemandMeter,
  type RegionCapacity,
  type RegionShares,
  type RegisteredTarget,
  type TargetRegistry,
  createDemandMeter,
  createRegionShares,
} from '@ibisbeam/decision';
import type {TimerService} from '@ibisbeam/library';
import type {VmRecord} from './peers/messages.js';

export interface RegionPlan {
  readonly shares: RegionShares;
  readonly demandMeter: DemandMeter;
  /** @param demand Busy slots needed by the peer's own clients, by service. */
  recordPeerDemand(peerId: string, demand: ReadonlyMap<string, number>): void;
  /**
   * Recomputes the shares of the services.
   *
   * @param objectives Services and the shortest latency objective of their
   *     routes, if they have any.
   * @param peers Gateways whose reported demand is recent enough to count.
   */
  update(
    objectives: ReadonlyMap<string, number | undefined>,
    peers: readonly VmRecord[],
  ): void;
}

export interface RegionPlanOptions {
  readonly region: string;
  readonly zoneRegions: ReadonlyMap<string, string>;
  /** Largest fraction of a region's requests to move elsewhere within 2 s. */
  readonly maximumShift: number;
  readonly registry: TargetRegistry;
  /** Requests per second that a target limits itself to, if it does. */
  rateLimitOf(incarnation: string): number | undefined;
  readonly timers: Pick<TimerService, 'nowMs'>;
}

/**
 * Fraction of the maximum shift that the planned shares may move per second.
 * Over 2 s this is less than half of the maximum, which leaves room for
 * spillover: requests that leave the region because of load.
 */
const SHIFT_FRACTION_PER_SECOND = 0.2;
const MILLISECONDS_PER_SECOND = 1_000;

export function createRegionPlan(options: RegionPlanOptions): RegionPlan {
  const {region, registry, timers} = options;
  const demandMeter = createDemandMeter();
  const shares = createRegionShares({
    region,
    maximumShiftPerSecond: options.maximumShift * SHIFT_FRACTION_PER_SECOND,
  });
  const regions = new Set(options.zoneRegions.values());
  const peerDemand = new Map<string, ReadonlyMap<string, number>>();

  function update(
    objectives: ReadonlyMap<string, number | undefined>,
    peers: readonly VmRecord[],
  ): void {
    const nowMs = timers.nowMs();
    const demandByRegion = new Map<string, Map<string, number>>();
    addDemand(demandByRegion, region, demandMeter.demandByService(nowMs));
    for (const peer of peers) {
      addDemand(demandByRegion, peer.region, peerDemand.get(peer.id));
    }
    for (const [service, objectiveMs] of objectives) {
      const slots = slotsByRegion(service);
      const capacityByRegion = new Map<string, RegionCapacity>();
      for (const name of regions) {
        capacityByRegion.set(name, {
          demand: demandByRegion.get(name)?.get(service) ?? 0,
          slots: slots.get(name) ?? 0,
        });
      }
      shares.update(service, capacityByRegion, nowMs, objectiveMs);
    }
  }

  function slotsByRegion(service: string): ReadonlyMap<string, number> {
    const slots = new Map<string, number>();
    for (const target of registry.usable(service)) {
      const before = slots.get(target.region) ?? 0;
      slots.set(target.region, before + usableSlots(target));
    }
    return slots;
  }

  /** Slots that requests keep busy at the rate to which a target is limited. */
  function usableSlots({incarnation, entry}: RegisteredTarget): number {
    const perSecond = options.rateLimitOf(incarnation);
    const durationMs = demandMeter.meanDurationMs(entry.service);
    if (perSecond === undefined || durationMs === undefined) {
      return entry.slots;
    }
    const busySlots = (perSecond * durationMs) / MILLISECONDS_PER_SECOND;
    return Math.min(entry.slots, busySlots);
  }

  return {
    shares,
    demandMeter,
    recordPeerDemand: (peerId, demand) => {
      peerDemand.set(peerId, demand);
    },
    update,
  };
}

function addDemand(
  byRegion: Map<string, Map<string, number>>,
  region: string,
  demand: ReadonlyMap<string, number> | undefined,
): void {
  const total = byRegion.get(region) ?? new Map<string, number>();
  byRegion.set(region, total);
  for (const [service, slots] of demand ?? []) {
    total.set(service, (total.get(service) ?? 0) + slots);
  }
}
