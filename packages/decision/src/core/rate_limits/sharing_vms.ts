/**
 * Which VMs divide the bounds that hold for all VMs together. A VM that counts
 * too few takes more than its part, so those that are out of reach count unless
 * most VMs agree that they are gone.
 */
import type {SharingVm} from './fleet_rate_limiter.js';

/** What one VM knows of the others; none of the lists includes itself. */
export interface FleetKnowledge {
  readonly self: SharingVm;
  /** Regions by availability zone. */
  readonly zoneRegions: ReadonlyMap<string, string>;
  /** VMs heard from just now. */
  readonly live: readonly SharingVm[];
  /** VMs heard from lately, whether they still answer or not. */
  readonly recent: readonly SharingVm[];
  /** All VMs heard of, including those never reached. */
  readonly known: readonly SharingVm[];
  /** Time since the start of this process. */
  readonly uptimeMs: number;
}

/** After it a VM has heard of the others, if it can reach any of them. */
const STARTING_MS = 5_000;

/** Returns the other VMs that share the bounds with this one. */
export function vmsThatShare(knowledge: FleetKnowledge): readonly SharingVm[] {
  const {live, recent, known} = knowledge;
  if (knowledge.uptimeMs < STARTING_MS) {
    return [...known, ...assumedVms(knowledge)];
  }
  if (recent.length === 0) {
    return known;
  }
  // Those that hear from most of the others may take over the parts of the
  // rest; two groups cannot both do so.
  const isMajority = (live.length + 1) * 2 > recent.length + 1;
  return isMajority ? live : recent;
}

/** One VM for each zone, less those of the region that are known. */
function assumedVms({
  self,
  zoneRegions,
  known,
}: FleetKnowledge): readonly SharingVm[] {
  const missing = new Map<string, number>();
  for (const region of zoneRegions.values()) {
    missing.set(region, (missing.get(region) ?? 0) + 1);
  }
  for (const {region} of [self, ...known]) {
    missing.set(region, (missing.get(region) ?? 0) - 1);
  }
  const assumed: SharingVm[] = [];
  for (const [region, count] of missing) {
    for (let index = 0; index < count; index += 1) {
      assumed.push({id: `not heard of ${region} ${index}`, region});
    }
  }
  return assumed;
}
