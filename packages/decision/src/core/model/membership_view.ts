/** What a VM believes about the entry VMs. */
import type {
  Generation,
  Incarnation,
  RegionName,
  VmId,
  ZoneName,
} from './identifiers.js';

/**
 * `suspect`: not heard of within the bound, or listed and never heard.
 * `gone`: the platform's list says so, or its incarnation was replaced.
 */
export type VmState = 'live' | 'suspect' | 'leaving' | 'gone';

export interface VmView {
  readonly vm: VmId;
  readonly incarnation?: Incarnation;
  readonly region: RegionName;
  readonly zone: ZoneName;
  readonly state: VmState;
  /** Generation that the VM last said it runs. */
  readonly generation?: Generation;
  readonly lastHeardMs?: number;
}

export interface MembershipView {
  readonly atMs: number;
  readonly vms: ReadonlyMap<VmId, VmView>;
  /** Regions none of whose VMs was heard of within the bound. */
  readonly silentRegions: ReadonlySet<RegionName>;
  /** Whether this VM doubts itself (paused, or cut from everybody). */
  readonly selfDoubt: boolean;
}
