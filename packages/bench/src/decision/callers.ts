/**
 * Simulated callers: they cache lookups of entry VMs, send requests and resend
 * unanswered ones after the retry-after time.
 */
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
/** Delay until a crashed VM disappears from the platform's list. */
const VM_LIST_LAG_MS = 3_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Time that a caller waits beyond the deadline it sends. */
const DEADLINE_GRACE_MS = 50;
const MINIMUM_RETRY_DELAY_MS = 100;
/** Used if a reply has no retry-after. */
const DEFAULT_RETRY_DELAY_MS = 1_000;
const MAXIMUM_CONNECT_ATTEMPTS = 3;

export interface Callers {
  /**
   * Starts the operation now. Requests that are refused or get no answer are
   * sent again at most `resends` times.
   */
  begin(operation: Operation, resends: number): void;
  readonly outcomes: readonly OperationOutcome[];
}

interface CachedLookup {
  readonly vms: readonly VmId[];
  readonly expiresMs: number;
}

interface PendingOperation {
  readonly operation: Operation;
  readonly startedMs: number;
  readonly resendsLeft: number;
  readonly requests: number;
}

export function createCallers(world: World, random: RandomSource): Callers {
  const {loop, record} = world;
  const outcomes: OperationOutcome[] = [];
  const cached = new Map<string, CachedLookup>();
  const downSinceMs = new Map<VmId, number>();

  function isListed(host: EntryVmHost): boolean {
    const {id} = host.vm;
    if (host.up() && world.regionUp(host.vm.region)) {
      downSinceMs.delete(id);
      return true;
    }
    const since = downSinceMs.get(id) ?? loop.nowMs();
    downSinceMs.set(id, since);
    return loop.nowMs() - since < VM_LIST_LAG_MS;
  }

  function lookUp(home: RegionName, caller: number): readonly VmId[] {
    const key = `${home}/${caller}`;
    const cachedLookup = cached.get(key);
    if (cachedLookup && cachedLookup.expiresMs > loop.nowMs()) {
      return cachedLookup.vms;
    }
    const listed = [...world.hosts.values()].filter(isListed);
    const local = listed.filter(host => host.vm.region === home);
    const chosen = local.length > 0 ? local : listed;
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

  function send(pending: PendingOperation): void {
    const {operation} = pending;
    const request = requestId(`${operation.id}-${pending.requests}`);
    record({
      kind: 'request-sent',
      atMs: loop.nowMs(),
      request,
      operation: operation.id,
      service: operation.service,
      homeRegion: operation.homeRegion,
      cohort: operation.cohort,
      idempotent: operation.idempotent,
      first: pending.requests === 1,
    });
    const vms = lookUp(operation.homeRegion, operation.cohort);
    connect(pending, request, vms, MAXIMUM_CONNECT_ATTEMPTS);
  }

  function connect(
    pending: PendingOperation,
    request: RequestId,
    vms: readonly VmId[],
    attemptsLeft: number,
  ): void {
    const {operation} = pending;
    const host = world.hosts.get(vms[random.below(vms.length)]!);
    if (!host || attemptsLeft === 0) {
      finish(pending, request, {end: {kind: 'no-answer'}, status: 0});
      return;
    }
    const delayMs = world.network.clientOneWayMs(
      operation.homeRegion,
      host.location,
    );
    const reachable = world.regionUp(host.vm.region);
    if (!reachable || !host.up()) {
      const waitMs = reachable ? 2 * delayMs : CONNECT_TIMEOUT_MS;
      cached.delete(`${operation.homeRegion}/${operation.cohort}`);
      const others = lookUp(operation.homeRegion, operation.cohort).filter(
        vm => vm !== host.vm.id,
      );
      loop.after(waitMs, () =>
        connect(pending, request, others, attemptsLeft - 1),
      );
      return;
    }
    transmit(pending, request, host, delayMs);
  }

  function transmit(
    pending: PendingOperation,
    request: RequestId,
    host: EntryVmHost,
    delayMs: number,
  ): void {
    const {operation} = pending;
    let done = false;
    const timeout = loop.at(operation.deadlineMs + DEADLINE_GRACE_MS, () => {
      done = true;
      loop.after(delayMs, () => host.cancelRequest(request));
      finish(pending, request, {end: {kind: 'no-answer'}, status: 0});
    });
    loop.after(delayMs, () =>
      host.accept({
        request,
        operation,
        onResponseHead: () => undefined,
        onReply: reply =>
          loop.after(delayMs, () => {
            if (done || !world.regionUp(host.vm.region)) {
              return;
            }
            done = true;
            timeout.cancel();
            finish(pending, request, reply);
          }),
      }),
    );
  }

  function finish(
    pending: PendingOperation,
    request: RequestId,
    reply: Reply,
  ): void {
    record({
      kind: 'request-ended',
      atMs: loop.nowMs(),
      request,
      end: reply.end,
    });
    const waitMs = resendAfterMs(pending, reply);
    if (waitMs === undefined) {
      outcomes.push(outcomeOf(pending, reply, loop.nowMs()));
      return;
    }
    loop.after(waitMs, () => resend(pending));
  }

  function resend(pending: PendingOperation): void {
    const {operation} = pending;
    const allowedMs = operation.deadlineMs - operation.startedMs;
    send({
      ...pending,
      operation: {
        ...operation,
        startedMs: loop.nowMs(),
        deadlineMs: loop.nowMs() + allowedMs,
      },
      resendsLeft: pending.resendsLeft - 1,
      requests: pending.requests + 1,
    });
  }

  return {begin, outcomes};
}

function resendAfterMs(
  pending: PendingOperation,
  reply: Reply,
): number | undefined {
  if (pending.resendsLeft === 0 || reply.end.kind === 'answered') {
    return undefined;
  }
  const requestedMs = reply.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS;
  return Math.max(requestedMs, MINIMUM_RETRY_DELAY_MS);
}

function outcomeOf(
  pending: PendingOperation,
  reply: Reply,
  endedMs: number,
): OperationOutcome {
  const {operation, startedMs, requests} = pending;
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
