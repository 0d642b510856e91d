/** Which shard of claims this VM looks through next, and what it deletes. */
import {type MembershipView, type VmId} from '../model/index.js';
import {hash32} from '../hashing/index.js';
import {
  CLAIM_SHARDS,
  claimRecordSchema,
  claimShardPrefix,
} from './claim_record.js';

/** Each shard is looked through this often within the retention. */
const SWEEPS_PER_RETENTION = 2;

export interface ClaimSweep {
  /** The prefix to list now, if one is due; call it at least once a second. */
  next(view: MembershipView | undefined, nowMs: number): string | undefined;
}

/**
 * Shards are divided over the VMs by hash, without any agreement: one swept
 * twice or by nobody for a while does no harm. The shards of one VM are
 * spread evenly over time.
 */
export function createClaimSweep(vm: VmId, retentionMs: number): ClaimSweep {
  const roundMs = retentionMs / SWEEPS_PER_RETENTION;
  const start = hash32(vm) % CLAIM_SHARDS;
  let position: number | undefined;

  return {
    next: (view, nowMs) => {
      const steps = Math.floor((nowMs / roundMs) * CLAIM_SHARDS);
      position ??= steps;
      const vms = usableVms(view);
      const place = vms.indexOf(vm);
      while (position < steps && place >= 0) {
        const shard = (start + position) % CLAIM_SHARDS;
        position += 1;
        if (shard % vms.length === place) {
          return claimShardPrefix(shard);
        }
      }
      return undefined;
    },
  };
}

function usableVms(view: MembershipView | undefined): readonly VmId[] {
  const vms: VmId[] = [];
  for (const {vm, state} of view?.vms.values() ?? []) {
    if (state === 'live') {
      vms.push(vm);
    }
  }
  return vms.sort();
}

/** Whether a stored claim is past its retention. */
export function claimIsExpired(
  value: unknown,
  retentionMs: number,
  wallMs: number,
): boolean {
  const record = claimRecordSchema.safeParse(value);
  return record.success && wallMs - record.data.claimedAtWallMs > retentionMs;
}
