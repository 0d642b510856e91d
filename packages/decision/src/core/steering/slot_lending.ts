/** Lends slots to VMs of the same region and borrows theirs, under leases. */
import type {ServiceName, TargetId, VmId} from '../model/index.js';
import {exclusionReason} from '../routing/index.js';
import {findLivePeers} from './context.js';
import {type Pool, countFreeSlots} from './pool.js';
import type {SteeringState} from './state.js';

export interface SlotLending {
  /** Requests slots from a peer if the pool is short of them. */
  requestSlotsIfShort(pool: Pool): void;
  handleSlotsWanted(
    from: VmId,
    ask: number,
    service: ServiceName,
    slots: number,
  ): void;
  handleSlotsGranted(
    from: VmId,
    ask: number,
    service: ServiceName,
    slots: readonly (readonly [TargetId, number])[],
    leaseMs: number,
  ): void;
  handleSlotsReturned(from: VmId, ask: number, service: ServiceName): void;
  /** Returns idle borrowed slots, and drops expired slot requests. */
  returnIdleSlots(): void;
}

interface PendingSlotRequest {
  readonly service: ServiceName;
  readonly lender: VmId;
  readonly sentAtMs: number;
}

/** Progress of the search for a lender of a service. */
interface LenderSearch {
  nextRequestMs: number;
  /** Peers asked in this search. */
  readonly contacted: Set<VmId>;
}

/** Maximum fraction of its free slots that a lender grants at once. */
const LENDABLE_FREE_FRACTION = 0.5;
/** Borrowed slots that have been unused for this long are returned. */
const IDLE_LEASE_RETURN_MS = 60;
/** A slot request counts as refused if it is unanswered for this long. */
const SLOT_REQUEST_TIMEOUT_MS = 25;
/** A grant that arrives later than this is ignored. */
const PENDING_REQUEST_LIFETIME_MS = 1_000;
const MAXIMUM_PENDING_REQUESTS = 64;
/** Maximum relative difference between the clock rates of two VMs. */
const CLOCK_RATE_MARGIN_FRACTION = 0.01;
const INITIAL_ASK_RANGE = 2 ** 40;

export function createSlotLending(state: SteeringState): SlotLending {
  const {context} = state;
  const {parameters} = context;
  const pendingRequests = new Map<number, PendingSlotRequest>();
  const searches = new Map<ServiceName, LenderSearch>();
  /** Starts at a random value, so as not to repeat a previous incarnation's. */
  let nextAsk = Math.floor(context.random.next() * INITIAL_ASK_RANGE);

  function requestSlotsIfShort(pool: Pool): void {
    const {nowMs} = context.time();
    const search = searchFor(pool.service);
    if (!isShortOfSlots(pool)) {
      return;
    }
    if (nowMs < search.nextRequestMs) {
      context.wakeAt(search.nextRequestMs);
      return;
    }
    const lender = chooseLender(pool, search);
    if (lender === undefined) {
      search.contacted.clear();
      search.nextRequestMs = nowMs + parameters.borrowRetryIntervalMs;
      context.wakeAt(search.nextRequestMs);
      return;
    }
    search.nextRequestMs = nowMs + SLOT_REQUEST_TIMEOUT_MS;
    search.contacted.add(lender);
    const ask = nextAsk;
    nextAsk += 1;
    pendingRequests.set(ask, {
      service: pool.service,
      lender,
      sentAtMs: nowMs,
    });
    context.send(lender, {
      kind: 'slots-wanted',
      ask,
      service: pool.service,
      slots: pool.queue.size() + 1,
    });
  }

  function searchFor(service: ServiceName): LenderSearch {
    const known = searches.get(service);
    if (known) {
      return known;
    }
    const created = {nextRequestMs: -Infinity, contacted: new Set<VmId>()};
    searches.set(service, created);
    return created;
  }

  function isShortOfSlots(pool: Pool): boolean {
    if (pool.queue.size() > 0) {
      return true;
    }
    return (
      pool.slotLedger.slotsInUse() > 0 && countFreeSlots(pool, context) === 0
    );
  }

  /** The peer with the most reported free slots that was not asked yet. */
  function chooseLender(pool: Pool, search: LenderSearch): VmId | undefined {
    const {nowMs} = context.time();
    let best: VmId | undefined;
    let bestFree = -1;
    for (const vm of findLivePeers(context, context.region)) {
      const free = state.peerLoads.freeSlots(vm, pool.service, nowMs) ?? 0;
      if (!search.contacted.has(vm) && free > bestFree) {
        best = vm;
        bestFree = free;
      }
    }
    return best;
  }

  function handleSlotsWanted(
    from: VmId,
    ask: number,
    service: ServiceName,
    slots: number,
  ): void {
    const pool = state.pools.get(service);
    const borrower = context.configuration()?.entryVms.get(from);
    if (!pool || borrower?.region !== context.region) {
      return;
    }
    const {nowMs} = context.time();
    const known = pool.slotLedger.findLentLease(from, ask);
    const lease = known ?? grant(pool, from, ask, slots, nowMs);
    context.send(from, {
      kind: 'slots-granted',
      ask,
      service,
      slots: lease?.slots.map(([target, count]) => [target, count]) ?? [],
      leaseMs: pool.leaseMs,
    });
  }

  function grant(
    pool: Pool,
    from: VmId,
    ask: number,
    slots: number,
    nowMs: number,
  ) {
    const lendableSlots = Math.ceil(
      countFreeSlots(pool, context) * LENDABLE_FREE_FRACTION,
    );
    const grantedSlots = Math.min(slots, lendableSlots);
    if (grantedSlots <= 0 || pool.queue.size() > 0) {
      return undefined;
    }
    const marginedLeaseMs = pool.leaseMs * (1 + CLOCK_RATE_MARGIN_FRACTION);
    const lease = pool.slotLedger.lend(
      {
        borrower: from,
        ask,
        reclaimedAtMs: nowMs + marginedLeaseMs + parameters.leaseMarginMs,
      },
      grantedSlots,
      target => {
        const record = pool.records.get(target);
        return record !== undefined && !exclusionReason(record, nowMs);
      },
    );
    if (lease) {
      context.note({
        kind: 'slots-lent',
        to: from,
        service: pool.service,
        slots: grantedSlots,
      });
    }
    return lease;
  }

  function handleSlotsGranted(
    from: VmId,
    ask: number,
    service: ServiceName,
    slots: readonly (readonly [TargetId, number])[],
    leaseMs: number,
  ): void {
    const pending = pendingRequests.get(ask);
    const pool = state.pools.get(service);
    if (!pool || pending?.lender !== from || pending.service !== service) {
      return;
    }
    pendingRequests.delete(ask);
    const {nowMs} = context.time();
    const search = searchFor(service);
    search.nextRequestMs = nowMs;
    if (slots.length === 0) {
      requestSlotsIfShort(pool);
      return;
    }
    search.contacted.clear();
    const endsAtMs = pending.sentAtMs + leaseMs;
    if (endsAtMs <= nowMs) {
      return;
    }
    pool.slotLedger.borrow(
      {lender: from, ask, slots: new Map(slots), endsAtMs},
      nowMs,
    );
    let count = 0;
    for (const [, part] of slots) {
      count += part;
    }
    context.note({kind: 'slots-borrowed', from, service, slots: count});
  }

  function returnIdleSlots(): void {
    const {nowMs} = context.time();
    for (const pool of state.pools.values()) {
      const unusedSinceMs = nowMs - IDLE_LEASE_RETURN_MS;
      for (const lease of pool.slotLedger.takeIdleLeases(unusedSinceMs)) {
        context.send(lease.lender, {
          kind: 'slots-returned',
          ask: lease.ask,
          service: pool.service,
        });
      }
    }
    for (const [ask, pending] of pendingRequests) {
      const expired = nowMs - pending.sentAtMs > PENDING_REQUEST_LIFETIME_MS;
      if (expired || pendingRequests.size > MAXIMUM_PENDING_REQUESTS) {
        pendingRequests.delete(ask);
      }
    }
  }

  return {
    requestSlotsIfShort,
    handleSlotsWanted,
    handleSlotsGranted,
    handleSlotsReturned: (from, ask, service) =>
      state.pools.get(service)?.slotLedger.reclaimLease(from, ask),
    returnIdleSlots,
  };
}
