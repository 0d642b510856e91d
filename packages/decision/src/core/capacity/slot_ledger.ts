/**
 * The slots of one pool that this VM may use: its own share, minus the lent
 * slots, plus the borrowed ones. No request may be sent to a target without a
 * token; each attempt holds one.
 */
import type {TargetId, VmId} from '../model/index.js';
import type {SlotShare} from './shares.js';

/** Permission to have one request in flight at a target. */
export interface SlotToken {
  readonly target: TargetId;
  /** Set if the slot is borrowed. */
  readonly lease?: BorrowedLease;
}

export interface BorrowedLease {
  readonly lender: VmId;
  /** Number of this VM's request for slots that led to the lease. */
  readonly ask: number;
  readonly slots: ReadonlyMap<TargetId, number>;
  /** End of the lease, counted from the time of this VM's request for slots. */
  readonly endsAtMs: number;
  readonly inUse: Map<TargetId, number>;
  lastUsedAtMs: number;
}

export interface LentLease {
  readonly borrower: VmId;
  /** Number of the borrower's request for slots. */
  readonly ask: number;
  readonly slots: readonly (readonly [TargetId, number])[];
  /** End of the lease plus a margin, measured from the time of the grant. */
  readonly reclaimedAtMs: number;
}

export interface SlotLedger {
  /**
   * Replaces this VM's own share. Slots in use beyond the new share stay in use
   * until they are released and are not acquired again.
   */
  setOwnShare(share: SlotShare): void;
  /** Slots of this VM's own share at the target, including lent ones. */
  ownedAt(target: TargetId): number;
  /** Sum of `ownedAt` over all targets. */
  ownedSlots(): number;
  /**
   * Slots, free or in use, that may serve a request until `inUseUntilMs`:
   * borrowed ones count only if their lease ends later.
   */
  usableAt(target: TargetId, inUseUntilMs: number): number;
  /** Sum of `usableAt` over all targets. */
  usableSlots(inUseUntilMs: number): number;
  inUseAt(target: TargetId): number;
  slotsInUse(): number;
  freeAt(target: TargetId, inUseUntilMs: number): number;
  /**
   * Returns undefined if no slot is free.
   *
   * @param inUseUntilMs Latest time at which the slot is still in use.
   */
  acquire(
    target: TargetId,
    nowMs: number,
    inUseUntilMs: number,
  ): SlotToken | undefined;
  release(token: SlotToken): void;
  /**
   * Lends up to `slots` of the free own slots, at each target at most half of
   * them, rounded up. Returns undefined if there are none to lend.
   */
  lend(
    lease: Omit<LentLease, 'slots'>,
    slots: number,
    lendable: (target: TargetId) => boolean,
  ): LentLease | undefined;
  findLentLease(borrower: VmId, ask: number): LentLease | undefined;
  /** Ends a lease whose slots the borrower has returned. */
  reclaimLease(borrower: VmId, ask: number): void;
  /** Adds slots that another VM has lent to this one. */
  borrow(
    lease: Omit<BorrowedLease, 'inUse' | 'lastUsedAtMs'>,
    nowMs: number,
  ): void;
  /**
   * Removes and returns the borrowed leases that no request uses and that were
   * last used at `unusedSinceMs` or earlier.
   */
  takeIdleLeases(unusedSinceMs: number): readonly BorrowedLease[];
  borrowedSlots(nowMs: number): number;
  lentSlots(): number;
  /** Removes expired leases; borrowed ones only once they are unused. */
  expire(nowMs: number): void;
  targets(): ReadonlySet<TargetId>;
}

export function createSlotLedger(): SlotLedger {
  let share: SlotShare = new Map();
  const ownInUse = new Map<TargetId, number>();
  const lentAt = new Map<TargetId, number>();
  const lent = new Map<string, LentLease>();
  const borrowed: BorrowedLease[] = [];
  let tokensInUse = 0;

  const ownedAt = (target: TargetId) => share.get(target) ?? 0;

  function ownFreeAt(target: TargetId): number {
    const free =
      ownedAt(target) - countAt(lentAt, target) - countAt(ownInUse, target);
    return Math.max(0, free);
  }

  function borrowedFreeAt(target: TargetId, inUseUntilMs: number): number {
    let free = 0;
    for (const lease of borrowed) {
      if (lease.endsAtMs > inUseUntilMs) {
        free += countAt(lease.slots, target) - countAt(lease.inUse, target);
      }
    }
    return free;
  }

  const freeAt = (target: TargetId, inUseUntilMs: number) =>
    ownFreeAt(target) + borrowedFreeAt(target, inUseUntilMs);

  function inUseAt(target: TargetId): number {
    let used = countAt(ownInUse, target);
    for (const lease of borrowed) {
      used += countAt(lease.inUse, target);
    }
    return used;
  }

  function acquire(
    target: TargetId,
    nowMs: number,
    inUseUntilMs: number,
  ): SlotToken | undefined {
    if (ownFreeAt(target) > 0) {
      addAt(ownInUse, target, 1);
      tokensInUse += 1;
      return {target};
    }
    for (const lease of borrowed) {
      const free = countAt(lease.slots, target) - countAt(lease.inUse, target);
      if (free > 0 && lease.endsAtMs > inUseUntilMs) {
        addAt(lease.inUse, target, 1);
        lease.lastUsedAtMs = nowMs;
        tokensInUse += 1;
        return {target, lease};
      }
    }
    return undefined;
  }

  function lend(
    lease: Omit<LentLease, 'slots'>,
    slots: number,
    lendable: (target: TargetId) => boolean,
  ): LentLease | undefined {
    const lentSlots: [TargetId, number][] = [];
    let remaining = slots;
    const byFree = [...share.keys()]
      .filter(lendable)
      .sort((one, other) => ownFreeAt(other) - ownFreeAt(one));
    for (const target of byFree) {
      const part = Math.min(remaining, Math.ceil(ownFreeAt(target) / 2));
      if (part > 0) {
        lentSlots.push([target, part]);
        remaining -= part;
      }
    }
    if (lentSlots.length === 0) {
      return undefined;
    }
    for (const [target, count] of lentSlots) {
      addAt(lentAt, target, count);
    }
    const granted = {...lease, slots: lentSlots};
    lent.set(leaseKey(lease.borrower, lease.ask), granted);
    return granted;
  }

  function dropLent(key: string): void {
    const lease = lent.get(key);
    if (!lease) {
      return;
    }
    lent.delete(key);
    for (const [target, count] of lease.slots) {
      addAt(lentAt, target, -count);
    }
  }

  function takeIdleLeases(unusedSinceMs: number): readonly BorrowedLease[] {
    const idle = borrowed.filter(
      lease => lease.lastUsedAtMs <= unusedSinceMs && lease.inUse.size === 0,
    );
    for (const lease of idle) {
      borrowed.splice(borrowed.indexOf(lease), 1);
    }
    return idle;
  }

  function expire(nowMs: number): void {
    for (const [key, lease] of lent) {
      if (lease.reclaimedAtMs <= nowMs) {
        dropLent(key);
      }
    }
    for (const lease of [...borrowed]) {
      if (lease.endsAtMs <= nowMs && lease.inUse.size === 0) {
        borrowed.splice(borrowed.indexOf(lease), 1);
      }
    }
  }

  function targets(): ReadonlySet<TargetId> {
    const all = new Set(share.keys());
    for (const lease of borrowed) {
      for (const target of lease.slots.keys()) {
        all.add(target);
      }
    }
    return all;
  }

  function usableAt(target: TargetId, inUseUntilMs: number): number {
    let usable = Math.max(0, ownedAt(target) - countAt(lentAt, target));
    for (const lease of borrowed) {
      if (lease.endsAtMs > inUseUntilMs) {
        usable += countAt(lease.slots, target);
      }
    }
    return usable;
  }

  function usableSlots(inUseUntilMs: number): number {
    let total = 0;
    for (const target of targets()) {
      total += usableAt(target, inUseUntilMs);
    }
    return total;
  }

  return {
    setOwnShare: next => {
      share = next;
    },
    ownedAt,
    ownedSlots: () => sum(share.values()),
    usableAt,
    usableSlots,
    inUseAt,
    slotsInUse: () => tokensInUse,
    freeAt,
    acquire,
    release: token => {
      tokensInUse -= 1;
      addAt(token.lease?.inUse ?? ownInUse, token.target, -1);
    },
    lend,
    findLentLease: (borrower, ask) => lent.get(leaseKey(borrower, ask)),
    reclaimLease: (borrower, ask) => dropLent(leaseKey(borrower, ask)),
    borrow: (lease, nowMs) => {
      borrowed.push({...lease, inUse: new Map(), lastUsedAtMs: nowMs});
    },
    takeIdleLeases,
    borrowedSlots: nowMs => {
      let slots = 0;
      for (const lease of borrowed) {
        slots += lease.endsAtMs > nowMs ? sum(lease.slots.values()) : 0;
      }
      return slots;
    },
    lentSlots: () => sum(lentAt.values()),
    expire,
    targets,
  };
}

function leaseKey(borrower: VmId, ask: number): string {
  return `${borrower}/${ask}`;
}

function countAt(
  counts: ReadonlyMap<TargetId, number>,
  target: TargetId,
): number {
  return counts.get(target) ?? 0;
}

function addAt(
  counts: Map<TargetId, number>,
  target: TargetId,
  change: number,
): void {
  const next = countAt(counts, target) + change;
  if (next === 0) {
    counts.delete(target);
    return;
  }
  counts.set(target, next);
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) {
    total += value;
  }
  return total;
}
