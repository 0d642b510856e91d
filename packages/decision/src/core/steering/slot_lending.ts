/** Lends idle slots to VMs of the region and borrows theirs, under leases. */
import type {ServiceName, TargetId, VmId} from '../model/index.js';
import {exclusionReason} from '../routing/index.js';
import {liveVms} from './context.js';
import {type Pool, freeSlots} from './pool.js';
import type {SteeringState} from './state.js';

export interface SlotLending {
  /** Asks a peer for slots if the pool is short of them. */
  considerAsking(pool: Pool): void;
  wanted(from: VmId, ask: number, service: ServiceName, slots: number): void;
  granted(
    from: VmId,
    ask: number,
    service: ServiceName,
    slots: readonly (readonly [TargetId, number])[],
    leaseMs: number,
  ): void;
  returned(from: VmId, ask: number, service: ServiceName): void;
  /** Gives back what has not been used for a while; forgets old asks. */
  returnIdle(): void;
}

interface OpenAsk {
  readonly service: ServiceName;
  readonly to: VmId;
  readonly askedAtMs: number;
}

/** Progress of the search for a lender. */
interface Asking {
  notBeforeMs: number;
  /** Peers asked since the search began. */
  readonly refusedBy: Set<VmId>;
}

/** The part of its free slots that a lender gives. */
const LENT_FREE_FRACTION = 0.5;
const UNUSED_RETURN_MS = 60;
/** An ask without an answer counts as refused after this. */
const ANSWER_TIMEOUT_MS = 25;
/** An answer that comes later than this is not used. */
const OPEN_ASK_LIFETIME_MS = 1_000;
const MAXIMUM_OPEN_ASKS = 64;
/** Clocks of two VMs run at the same rate within this fraction. */
const CLOCK_RATE_MARGIN = 0.01;
const FIRST_ASK_RANGE = 2 ** 40;

export function createSlotLending(state: SteeringState): SlotLending {
  const {context} = state;
  const {parameters} = context;
  const open = new Map<number, OpenAsk>();
  const askings = new Map<ServiceName, Asking>();
  /** Never used by an earlier life of this VM. */
  let nextAsk = Math.floor(context.random.next() * FIRST_ASK_RANGE);

  function considerAsking(pool: Pool): void {
    const {nowMs} = context.time();
    const asking = askingOf(pool.service);
    if (!isShort(pool)) {
      return;
    }
    if (nowMs < asking.notBeforeMs) {
      context.wakeAt(asking.notBeforeMs);
      return;
    }
    const lender = chooseLender(pool, asking);
    if (lender === undefined) {
      asking.refusedBy.clear();
      asking.notBeforeMs = nowMs + parameters.borrowIntervalMs;
      context.wakeAt(asking.notBeforeMs);
      return;
    }
    asking.notBeforeMs = nowMs + ANSWER_TIMEOUT_MS;
    asking.refusedBy.add(lender);
    const ask = nextAsk;
    nextAsk += 1;
    open.set(ask, {service: pool.service, to: lender, askedAtMs: nowMs});
    context.send(lender, {
      kind: 'slots-wanted',
      ask,
      service: pool.service,
      slots: pool.queue.size() + 1,
    });
  }

  function askingOf(service: ServiceName): Asking {
    const known = askings.get(service);
    if (known) {
      return known;
    }
    const created = {notBeforeMs: -Infinity, refusedBy: new Set<VmId>()};
    askings.set(service, created);
    return created;
  }

  function isShort(pool: Pool): boolean {
    if (pool.queue.size() > 0) {
      return true;
    }
    return pool.holdings.inUse() > 0 && freeSlots(pool, context) === 0;
  }

  /** The peer that told of most free slots and has not refused lately. */
  function chooseLender(pool: Pool, asking: Asking): VmId | undefined {
    const {nowMs} = context.time();
    let best: VmId | undefined;
    let bestFree = -1;
    for (const vm of liveVms(context, context.region)) {
      const free = state.peers.free(vm, pool.service, nowMs) ?? 0;
      if (!asking.refusedBy.has(vm) && free > bestFree) {
        best = vm;
        bestFree = free;
      }
    }
    return best;
  }

  function wanted(
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
    const known = pool.holdings.lentLease(from, ask);
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
    const spare = Math.ceil(freeSlots(pool, context) * LENT_FREE_FRACTION);
    const given = Math.min(slots, spare);
    if (given <= 0 || pool.queue.size() > 0) {
      return undefined;
    }
    const heldMs = pool.leaseMs * (1 + CLOCK_RATE_MARGIN);
    const lease = pool.holdings.lend(
      {
        borrower: from,
        ask,
        reclaimedAtMs: nowMs + heldMs + parameters.leaseMarginMs,
      },
      given,
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
        slots: given,
      });
    }
    return lease;
  }

  function granted(
    from: VmId,
    ask: number,
    service: ServiceName,
    slots: readonly (readonly [TargetId, number])[],
    leaseMs: number,
  ): void {
    const asked = open.get(ask);
    const pool = state.pools.get(service);
    if (!pool || asked?.to !== from || asked.service !== service) {
      return;
    }
    open.delete(ask);
    const {nowMs} = context.time();
    const asking = askingOf(service);
    asking.notBeforeMs = nowMs;
    if (slots.length === 0) {
      considerAsking(pool);
      return;
    }
    asking.refusedBy.clear();
    const endsAtMs = asked.askedAtMs + leaseMs;
    if (endsAtMs <= nowMs) {
      return;
    }
    pool.holdings.borrow(
      {lender: from, ask, slots: new Map(slots), endsAtMs},
      nowMs,
    );
    let count = 0;
    for (const [, part] of slots) {
      count += part;
    }
    context.note({kind: 'slots-borrowed', from, service, slots: count});
  }

  function returnIdle(): void {
    const {nowMs} = context.time();
    for (const pool of state.pools.values()) {
      const unusedSinceMs = nowMs - UNUSED_RETURN_MS;
      for (const lease of pool.holdings.takeIdleLeases(unusedSinceMs)) {
        context.send(lease.lender, {
          kind: 'slots-returned',
          ask: lease.ask,
          service: pool.service,
        });
      }
    }
    for (const [ask, asked] of open) {
      const old = nowMs - asked.askedAtMs > OPEN_ASK_LIFETIME_MS;
      if (old || open.size > MAXIMUM_OPEN_ASKS) {
        open.delete(ask);
      }
    }
  }

  return {
    considerAsking,
    wanted,
    granted,
    returned: (from, ask, service) =>
      state.pools.get(service)?.holdings.releaseLent(from, ask),
    returnIdle,
  };
}
