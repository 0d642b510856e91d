/** One VM's view of the membership of all entry VMs. */
import type {
  Generation,
  Incarnation,
  RegionName,
  VmId,
  ZoneName,
} from './identifiers.js';

/**
 * `suspect`: no heartbeat within the suspicion time-out, or listed and never
 * heard from. `gone`: removed from the platform's list, or its incarnation was
 * replaced.
 */
export type VmState = 'live' | 'suspect' | 'leaving' | 'gone';

export interface VmView {
  readonly vm: VmId;
  readonly incarnation?: Incarnation;
  readonly region: RegionName;
  readonly zone: ZoneName;
  readonly state: VmState;
  /** Configuration generation that the VM last reported. */
  readonly generation?: Generation;
  readonly lastHeardMs?: number;
}

export interface MembershipView {
  readonly atMs: number;
  readonly vms: ReadonlyMap<VmId, VmView>;
  /** Regions with no heartbeat from any VM within the suspicion time-out. */
  readonly silentRegions: ReadonlySet<RegionName>;
  /**
   * Whether this VM cannot trust its own view, because its process was paused
   * or it receives no heartbeats from any other VM.
   */
  readonly selfDoubt: boolean;
}
