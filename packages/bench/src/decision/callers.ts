/** Callers: cache look-up answers, send, come back when told to. */
import {
  type RandomSource,
  type RegionName,
  type RequestId,
  type VmId,
  requestId,
} from '@ibisbeam/decision';
import type {RequestEnd} from '@ibisbeam/invariants';
import type {
  EntryVmHost,
  Operation,
  OperationOutcome,
  Reply,
  World,
} from './types.js';

const LOOKUP_LIFETIME_MS = 30_000;
/** The platform's list of VMs is this far behind. */
const LISTING_LAG_MS = 3_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** A caller waits this much longer than the deadline that it states. */
const DEADLINE_GRACE_MS = 50;
const SHORTEST_RETRY_MS = 100;
/** A caller that is told no time comes back after this. */
const DEFAULT_RETRY_MS = 1_000;
const VM_TRIES = 3;

export interface Callers {
  /** Starts the operation now, with as many resends as the caller cares for. */
  begin(operation: Operation, resends: number): void;
  readonly outcomes: readonly OperationOutcome[];
}

interface CachedAnswer {
  readonly vms: readonly VmId[];
  readonly expiresMs: number;
}

interface Sending {
  readonly operation: Operation;
  readonly startedMs: number;
  readonly resendsLeft: number;
  readonly requests: number;
}

export function createCallers(world: World, random: RandomSource): Callers {
  const {loop, record} = world;
  const outcomes: OperationOutcome[] = [];
  const cached = new Map<string, CachedAnswer>();
  const downSinceMs = new Map<VmId, number>();

  function listedUp(host: EntryVmHost): boolean {
    const {id} = host.vm;
    if (host.up() && world.regionUp(host.vm.region)) {
      downSinceMs.delete(id);
      return true;
    }
    const since = downSinceMs.get(id) ?? loop.nowMs();
    downSinceMs.set(id, since);
    return loop.nowMs() - since < LISTING_LAG_MS;
  }

  function lookUp(home: RegionName, caller: number): readonly VmId[] {
    const key = `${home}/${caller}`;
    const known = cached.get(key);
    if (known && known.expiresMs > loop.nowMs()) {
      return known.vms;
    }
    const listed = [...world.hosts.values()].filter(listedUp);
    const near = listed.filter(host => host.vm.region === home);
    const chosen = near.length > 0 ? near : listed;
    const vms = chosen.map(host => host.vm.id);
    cached.set(key, {vms, expiresMs: loop.nowMs() + LOOKUP_LIFETIME_MS});
    return vms;
  }

  function begin(operation: Operation, resends: number): void {
    send({
      operation,
      startedMs: operation.startedMs,
      resendsLeft: resends,
      requests: 1,
    });
  }

  function send(sending: Sending): void {
    const {operation} = sending;
    const request = requestId(`${operation.id}-${sending.requests}`);
    record({
      kind: 'request-sent',
      atMs: loop.nowMs(),
      request,
      operation: operation.id,
      service: operation.service,
      homeRegion: operation.homeRegion,
      cohort: operation.cohort,
      idempotent: operation.idempotent,
      first: sending.requests === 1,
    });
    const vms = lookUp(operation.homeRegion, operation.cohort);
    connect(sending, request, vms, VM_TRIES);
  }

  function connect(
    sending: Sending,
    request: RequestId,
    vms: readonly VmId[],
    tries: number,
  ): void {
    const {operation} = sending;
    const host = world.hosts.get(vms[random.below(vms.length)]!);
    if (!host || tries === 0) {
      finish(sending, request, {end: {kind: 'no-answer'}, status: 0});
      return;
    }
    const delayMs = world.network.clientOneWayMs(
      operation.homeRegion,
      host.place,
    );
    const reachable = world.regionUp(host.vm.region);
    if (!reachable || !host.up()) {
      const waitMs = reachable ? 2 * delayMs : CONNECT_TIMEOUT_MS;
      cached.delete(`${operation.homeRegion}/${operation.cohort}`);
      const others = lookUp(operation.homeRegion, operation.cohort).filter(
        vm => vm !== host.vm.id,
      );
      loop.after(waitMs, () => connect(sending, request, others, tries - 1));
      return;
    }
    transmit(sending, request, host, delayMs);
  }

  function transmit(
    sending: Sending,
    request: RequestId,
    host: EntryVmHost,
    delayMs: number,
  ): void {
    const {operation} = sending;
    let done = false;
    const timeout = loop.at(operation.deadlineMs + DEADLINE_GRACE_MS, () => {
      done = true;
      loop.after(delayMs, () => host.abandon(request));
      finish(sending, request, {end: {kind: 'no-answer'}, status: 0});
    });
    loop.after(delayMs, () =>
      host.accept({
        request,
        operation,
        answering: () => undefined,
        reply: reply =>
          loop.after(delayMs, () => {
            if (done || !world.regionUp(host.vm.region)) {
              return;
            }
            done = true;
            timeout.cancel();
            finish(sending, request, reply);
          }),
      }),
    );
  }

  function finish(sending: Sending, request: RequestId, reply: Reply): void {
    record({
      kind: 'request-ended',
      atMs: loop.nowMs(),
      request,
      end: reply.end,
    });
    const waitMs = resendAfterMs(sending, reply);
    if (waitMs === undefined) {
      outcomes.push(outcomeOf(sending, reply, loop.nowMs()));
      return;
    }
    loop.after(waitMs, () => resend(sending));
  }

  function resend(sending: Sending): void {
    const {operation} = sending;
    const allowedMs = operation.deadlineMs - operation.startedMs;
    send({
      ...sending,
      operation: {
        ...operation,
        startedMs: loop.nowMs(),
        deadlineMs: loop.nowMs() + allowedMs,
      },
      resendsLeft: sending.resendsLeft - 1,
      requests: sending.requests + 1,
    });
  }

  return {begin, outcomes};
}

function resendAfterMs(sending: Sending, reply: Reply): number | undefined {
  if (sending.resendsLeft === 0 || reply.end.kind === 'answered') {
    return undefined;
  }
  const told = reply.retryAfterMs ?? DEFAULT_RETRY_MS;
  return Math.max(told, SHORTEST_RETRY_MS);
}

function outcomeOf(
  sending: Sending,
  reply: Reply,
  endedMs: number,
): OperationOutcome {
  const {operation, startedMs, requests} = sending;
  const first: Operation = {...operation, startedMs};
  const common = {operation: first, endedMs, requests};
  return {...common, ...describeEnd(reply.end, reply.status)};
}

function describeEnd(
  end: RequestEnd,
  status: number,
): Pick<OperationOutcome, 'kind' | 'reason'> {
  switch (end.kind) {
    case 'answered':
      return {kind: status < 500 ? 'answered' : 'failed'};
    case 'refused':
      return {kind: 'refused', reason: end.reason};
    case 'no-answer':
      return {kind: 'no-answer'};
  }
}
