/** Decides when each VM scans which shards of the store for expired claims. */
import {type MembershipView, type VmId} from '../model/index.js';
import {hash32} from '../hashing/index.js';
import {
  CLAIM_SHARDS,
  claimRecordSchema,
  claimShardPrefix,
} from './claim_record.js';

/** Scans of each shard per retention period. */
const SWEEPS_PER_RETENTION = 2;

export interface ClaimSweep {
  /**
   * Returns the store prefix of the shard to scan now, or undefined if none is
   * due. Call it at least once a second.
   */
  nextShardPrefix(
    view: MembershipView | undefined,
    nowMs: number,
  ): string | undefined;
}

/**
 * Divides the shards among the live VMs without coordination: a shard that is
 * scanned twice, or by no VM for a while, does no harm. The scans of one VM
 * are spread evenly over the sweep period.
 */
export function createClaimSweep(vm: VmId, retentionMs: number): ClaimSweep {
  const sweepPeriodMs = retentionMs / SWEEPS_PER_RETENTION;
  const startShard = hash32(vm) % CLAIM_SHARDS;
  let position: number | undefined;

  return {
    nextShardPrefix: (view, nowMs) => {
      const dueSteps = Math.floor((nowMs / sweepPeriodMs) * CLAIM_SHARDS);
      position ??= dueSteps;
      const vms = liveVms(view);
      const vmIndex = vms.indexOf(vm);
      while (position < dueSteps && vmIndex >= 0) {
        const shard = (startShard + position) % CLAIM_SHARDS;
        position += 1;
        if (shard % vms.length === vmIndex) {
          return claimShardPrefix(shard);
        }
      }
      return undefined;
    },
  };
}

function liveVms(view: MembershipView | undefined): readonly VmId[] {
  const vms: VmId[] = [];
  for (const {vm, state} of view?.vms.values() ?? []) {
    if (state === 'live') {
      vms.push(vm);
    }
  }
  return vms.sort();
}

/**
 * Whether a stored claim is older than the retention period. False for a value
 * that is no valid claim record.
 */
export function isClaimExpired(
  value: unknown,
  retentionMs: number,
  wallMs: number,
): boolean {
  const record = claimRecordSchema.safeParse(value);
  return record.success && wallMs - record.data.claimedAtWallMs > retentionMs;
}
