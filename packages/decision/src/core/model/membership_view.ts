/** One VM's view of the membership of all entry VMs. */
import type {
  Generation,
  Incarnation,
  RegionName,
  VmId,
  ZoneName,
} from './identifiers.js';

/**
 * `suspect`: no heartbeat within the suspicion time-out, or listed by the
 * platform but never heard from. `leaving`: shutting down. `gone`: removed from
 * the platform's list, or its incarnation was replaced.
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
  /** Monotonic time of its last heartbeat to this VM; absent if none came. */
  readonly lastHeardMs?: number;
}

export interface MembershipView {
  /** Monotonic time of the view. */
  readonly atMs: number;
  readonly vms: ReadonlyMap<VmId, VmView>;
  /**
   * Other regions none of whose VMs has been heard within the time-out for
   * regions, neither directly nor through other VMs.
   */
  readonly silentRegions: ReadonlySet<RegionName>;
  /**
   * Whether this VM cannot trust its own view, because its process was paused
   * or it receives no heartbeats from any other VM.
   */
  readonly selfDoubt: boolean;
}
