/**
 * Decides when this VM may use its share under a new configuration. A smaller
 * share applies at once. A larger one applies after every VM that may still
 * use the slots under an older generation runs the new one or is gone, and the
 * requests that it had in flight by then have ended.
 */
import type {
  Generation,
  MembershipView,
  TargetId,
  VmId,
} from '../model/index.js';
import type {SlotShare} from './shares.js';

/** Shares of one pool by VM under one generation. */
export type SlotDivision = ReadonlyMap<VmId, SlotShare>;

export interface ShareGrowth {
  /** Applies a generation's division; returns the share to use from now on. */
  setDivision(
    division: SlotDivision,
    generation: Generation,
    nowMs: number,
  ): SlotShare;
  /** Returns the share to use from now on, or undefined if it is unchanged. */
  advance(
    view: MembershipView | undefined,
    nowMs: number,
  ): SlotShare | undefined;
  /** Forbids use of the share before this time; replaces an earlier time. */
  holdUntil(notBeforeMs: number): void;
  /** Whether the share or a part of it may not be used yet. */
  isWaiting(): boolean;
}

export interface ShareGrowthOptions {
  readonly vm: VmId;
  /**
   * Longest time until an accepted configuration is in force on every VM; used
   * for VMs whose generation is unknown.
   */
  readonly inForceBoundMs: number;
  /** Longest time for which a slot stays in use once acquired or lent. */
  readonly maximumSlotUseMs: number;
}

interface PendingGrowth {
  readonly generation: Generation;
  readonly sinceMs: number;
  /** For each target whose share grows, the VMs that must confirm first. */
  readonly awaitedVms: ReadonlyMap<TargetId, ReadonlySet<VmId>>;
  readonly confirmedAtMs: Map<VmId, number>;
}

export function createShareGrowth(options: ShareGrowthOptions): ShareGrowth {
  const {vm, inForceBoundMs, maximumSlotUseMs} = options;
  let division: SlotDivision | undefined;
  let generation: Generation | undefined;
  let current = new Map<TargetId, number>();
  let pending: PendingGrowth | undefined;
  let notBeforeMs = 0;
  let holdEnded = true;

  function setDivision(
    next: SlotDivision,
    nextGeneration: Generation,
    nowMs: number,
  ): SlotShare {
    const previous = division;
    const isKnownStep =
      pending === undefined &&
      generation !== undefined &&
      nextGeneration <= generation + 1;
    const wanted = next.get(vm) ?? new Map<TargetId, number>();
    const awaitedVms = new Map<TargetId, ReadonlySet<VmId>>();
    const usedNow = new Map<TargetId, number>();
    for (const [target, slots] of wanted) {
      const used = previous ? (current.get(target) ?? 0) : slots;
      usedNow.set(target, Math.min(slots, used));
      if (slots > used) {
        awaitedVms.set(target, vmsToAwait(previous, next, target, isKnownStep));
      }
    }
    division = next;
    generation = nextGeneration;
    current = usedNow;
    pending =
      awaitedVms.size === 0
        ? undefined
        : {
            generation: nextGeneration,
            sinceMs: nowMs,
            awaitedVms,
            confirmedAtMs: new Map(),
          };
    return holdEnded ? current : new Map();
  }

  /**
   * The VMs that lose slots of the target; all other VMs if a generation was
   * skipped or an earlier growth is pending.
   */
  function vmsToAwait(
    previous: SlotDivision | undefined,
    next: SlotDivision,
    target: TargetId,
    isKnownStep: boolean,
  ): ReadonlySet<VmId> {
    const others = new Set<VmId>();
    for (const other of [...(previous?.keys() ?? []), ...next.keys()]) {
      const before = previous?.get(other)?.get(target) ?? 0;
      const after = next.get(other)?.get(target) ?? 0;
      if (other !== vm && (!isKnownStep || before > after)) {
        others.add(other);
      }
    }
    return others;
  }

  function hasConfirmed(
    growth: PendingGrowth,
    other: VmId,
    view: MembershipView | undefined,
    nowMs: number,
  ): boolean {
    const seen = view?.vms.get(other);
    if (seen?.state === 'gone') {
      return true;
    }
    if (seen?.generation !== undefined) {
      return seen.generation >= growth.generation;
    }
    return nowMs - growth.sinceMs >= inForceBoundMs;
  }

  function advance(
    view: MembershipView | undefined,
    nowMs: number,
  ): SlotShare | undefined {
    const opened = !holdEnded && nowMs >= notBeforeMs;
    holdEnded ||= opened;
    const grown = pending ? growInto(pending, view, nowMs) : false;
    return holdEnded && (opened || grown) ? current : undefined;
  }

  function growInto(
    growth: PendingGrowth,
    view: MembershipView | undefined,
    nowMs: number,
  ): boolean {
    const wanted = division?.get(vm);
    let grown = false;
    let waiting = false;
    for (const [target, others] of growth.awaitedVms) {
      if (!mayGrow(growth, others, view, nowMs)) {
        waiting = true;
        continue;
      }
      const slots = wanted?.get(target) ?? 0;
      if ((current.get(target) ?? 0) < slots) {
        current = new Map(current).set(target, slots);
        grown = true;
      }
    }
    if (!waiting) {
      pending = undefined;
    }
    return grown;
  }

  function mayGrow(
    growth: PendingGrowth,
    others: ReadonlySet<VmId>,
    view: MembershipView | undefined,
    nowMs: number,
  ): boolean {
    for (const other of others) {
      let at = growth.confirmedAtMs.get(other);
      if (at === undefined && hasConfirmed(growth, other, view, nowMs)) {
        at = nowMs;
        growth.confirmedAtMs.set(other, at);
      }
      if (at === undefined || nowMs < at + maximumSlotUseMs) {
        return false;
      }
    }
    return true;
  }

  return {
    setDivision,
    advance,
    holdUntil: untilMs => {
      notBeforeMs = untilMs;
      holdEnded = false;
    },
    isWaiting: () => !holdEnded || pending !== undefined,
  };
}
