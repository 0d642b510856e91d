/** Arrivals: placement, admission to the pool, queueing and relays. */
import type {RequestFacts, ServicePolicy, VmId} from '../model/index.js';
import {sendToTarget, sendToVm} from './attempts.js';
import {liveVms} from './context.js';
import {foreignLimit, placeRequest} from './placement.js';
import {type Pool, takeSlot, workingSlots} from './pool.js';
import {refuse} from './refusals.js';
import {type RequestState, createRequestState} from './requests.js';
import {type SteeringState, policyOf} from './state.js';
import {placeSuspect} from './suspects.js';

const RETRY_WITHOUT_CONFIGURATION_MS = 1_000;
const RETRY_WITHOUT_VM_MS = 1_000;
const RETRY_WHILE_STALE_MS = 1_000;
const LEAST_QUEUE_PLACES = 2;
/** A workspace counts as wanting slots for so long after a request. */
const WANTED_LIFETIME_MS = 5_000;
const RETRY_SHARE_USED_MS = 500;

export function requestArrived(
  state: SteeringState,
  facts: RequestFacts,
): void {
  const {context} = state;
  if (state.requests.has(facts.id)) {
    return;
  }
  const policy = policyOf(state, facts.workspace, facts.service);
  const {nowMs} = context.time();
  if (!policy) {
    refuseUnplaced(state, facts);
    return;
  }
  if (!context.fresh()) {
    refuseStale(state, facts);
    return;
  }
  const placement =
    placeSuspect(state, facts) ?? placeRequest(state, facts, policy);
  const region =
    placement.kind === 'refused' ? context.region : placement.region;
  const foreign = placement.kind === 'region' && placement.foreign;
  const request = createRequestState(facts, policy, region, foreign, nowMs);
  if (state.requests.size >= context.parameters.maximumRequests) {
    refuse(state, request, 'overloaded', RETRY_WITHOUT_CONFIGURATION_MS);
    return;
  }
  state.requests.set(facts.id, request);
  for (const target of state.suspicions.targetsLost(facts.fingerprint)) {
    request.triedTargets.add(target);
  }
  if (facts.deadlineMs <= nowMs) {
    refuse(state, request, 'deadline-expired');
    return;
  }
  if (placement.kind === 'refused') {
    refuse(state, request, placement.reason, placement.retryAfterMs);
    return;
  }
  if (placement.kind === 'vm') {
    sendToVm(state, request, placement.vm, placement.region);
    return;
  }
  place(state, request);
}

/** Approvals may have been revoked and targets removed since. */
function refuseStale(state: SteeringState, facts: RequestFacts): void {
  const {context} = state;
  const reason = 'configuration-stale';
  context.note({
    kind: 'decision',
    request: facts.id,
    explanation: [`refused: ${reason}: neither store nor peers are heard`],
  });
  context.emit({
    kind: 'refuse',
    request: facts.id,
    reason,
    outcome: 'not-run',
    retryAfterMs: RETRY_WHILE_STALE_MS,
  });
}

function refuseUnplaced(state: SteeringState, facts: RequestFacts): void {
  const {context} = state;
  const configuration = context.configuration();
  const workspace = configuration?.workspaces.get(facts.workspace);
  let reason: 'no-configuration' | 'unknown-workspace' | 'unknown-service' =
    'no-configuration';
  if (configuration) {
    reason = workspace ? 'unknown-service' : 'unknown-workspace';
  }
  context.note({
    kind: 'decision',
    request: facts.id,
    explanation: [`refused: ${reason}`],
  });
  context.emit({
    kind: 'refuse',
    request: facts.id,
    reason,
    outcome: 'not-run',
    retryAfterMs: configuration ? undefined : RETRY_WITHOUT_CONFIGURATION_MS,
  });
}

/** Runs the request here, or passes it on to its region. */
export function place(state: SteeringState, request: RequestState): void {
  if (request.region === state.context.region) {
    admit(state, request);
    return;
  }
  const peer = chooseRelay(state, request);
  if (peer === undefined) {
    refuse(state, request, 'no-healthy-target', RETRY_WITHOUT_VM_MS);
    return;
  }
  sendToVm(state, request, peer, request.region);
}

/** A live VM of the request's region with free slots, not tried before. */
export function chooseRelay(
  state: SteeringState,
  request: RequestState,
): VmId | undefined {
  const {context, peers} = state;
  const {service} = request.facts;
  const live = liveVms(context, request.region);
  const open = live.filter(vm => !request.triedVms.has(vm));
  const {nowMs} = context.time();
  const chosen = peers.choose(open, service, nowMs);
  if (chosen !== undefined || request.region === context.region) {
    return chosen;
  }
  return open[context.random.below(Math.max(1, open.length))];
}

function admit(state: SteeringState, request: RequestState): void {
  const {context} = state;
  const {facts, policy} = request;
  const pool = state.pools.get(facts.service);
  if (!pool) {
    refuse(state, request, 'unknown-service');
    return;
  }
  pool.wantedAtMs.set(facts.workspace, context.time().nowMs);
  state.touchedPools.add(pool);
  if (request.foreign) {
    const limit = foreignLimit(state, pool, facts, policy);
    if (pool.foreignInFlight >= limit) {
      const {capFraction, intervalMs} = policy.shift;
      const slots = Math.max(1, pool.holdings.owned() * capFraction);
      refuse(state, request, 'shift-cap-reached', intervalMs / slots);
      return;
    }
  }
  if (shareUsed(state, pool, request)) {
    refuse(state, request, 'workspace-share-used', RETRY_SHARE_USED_MS);
    return;
  }
  if (pool.queue.size() === 0 && startHere(state, pool, request)) {
    return;
  }
  if (relayWithinRegion(state, request)) {
    return;
  }
  enqueue(state, pool, request);
}

/** Whether the workspace has its part while others want slots too. */
function shareUsed(
  state: SteeringState,
  pool: Pool,
  request: RequestState,
): boolean {
  const {workspace} = request.facts;
  const {maximumPoolFraction} = request.policy;
  if (maximumPoolFraction >= 1) {
    return false;
  }
  const {nowMs} = state.context.time();
  const used = pool.inFlightByWorkspace.get(workspace) ?? 0;
  const most = Math.max(
    1,
    Math.floor(workingSlots(pool, state.context) * maximumPoolFraction),
  );
  if (used < most) {
    return false;
  }
  for (const [other, wantedMs] of pool.wantedAtMs) {
    if (other !== workspace && nowMs - wantedMs < WANTED_LIFETIME_MS) {
      return true;
    }
  }
  return false;
}

/** Starts an attempt at a target of this VM's own, if a slot is free. */
export function startHere(
  state: SteeringState,
  pool: Pool,
  request: RequestState,
): boolean {
  const taken = takeSlot(pool, request, state.context);
  if (!taken) {
    return false;
  }
  sendToTarget(state, pool, request, taken.record, taken.token, false);
  return true;
}

/** Passes the request to a VM of the region that told of free slots. */
export function relayWithinRegion(
  state: SteeringState,
  request: RequestState,
): boolean {
  const {nowMs} = state.context.time();
  const suspicion = state.suspicions.state(request.facts.fingerprint, nowMs);
  if (request.facts.relayedFrom || suspicion !== 'clear') {
    return false;
  }
  const peer = chooseRelay(state, request);
  if (peer === undefined) {
    return false;
  }
  sendToVm(state, request, peer, request.region);
  return true;
}

/** Lets the request wait if it can still be answered in time. */
export function enqueue(
  state: SteeringState,
  pool: Pool,
  request: RequestState,
): void {
  const {context} = state;
  const {facts, policy} = request;
  const slots = workingSlots(pool, context);
  if (slots === 0 && !pool.growth.isWaiting()) {
    refuse(state, request, 'no-healthy-target', RETRY_WITHOUT_VM_MS);
    return;
  }
  const waitMs = expectedWait(pool, policy, slots);
  const {nowMs} = context.time();
  if (nowMs + waitMs + pool.serviceTimeMs > facts.deadlineMs) {
    refuse(state, request, 'deadline-too-short', waitMs);
    return;
  }
  const places = Math.max(
    LEAST_QUEUE_PLACES,
    Math.ceil(Math.max(slots, 1) * context.parameters.queuePlacesPerSlot),
  );
  request.queued = true;
  const victim = pool.queue.enqueue(
    {
      request: facts.id,
      workspace: facts.workspace,
      priority: policy.priority,
      deadlineMs: facts.deadlineMs,
    },
    places,
  );
  context.wakeAt(facts.deadlineMs);
  const dropped = victim && state.requests.get(victim.request);
  if (dropped) {
    dropped.queued = false;
    refuse(state, dropped, 'region-full', expectedWait(pool, policy, slots));
  }
}

function expectedWait(
  pool: Pool,
  policy: ServicePolicy,
  slots: number,
): number {
  const before = pool.queue.countAhead(policy.priority) + 1;
  return (before * pool.serviceTimeMs) / Math.max(1, slots);
}

/** Serves the queue as far as slots are free. */
export function serveQueue(state: SteeringState, pool: Pool): void {
  const {nowMs} = state.context.time();
  for (const entry of pool.queue.takeExpired(nowMs)) {
    const expired = state.requests.get(entry.request);
    if (expired) {
      expired.queued = false;
      refuse(state, expired, 'deadline-expired');
    }
  }
  for (;;) {
    const entry = pool.queue.peek(
      workspace => pool.inFlightByWorkspace.get(workspace) ?? 0,
    );
    const request = entry && state.requests.get(entry.request);
    if (!entry) {
      return;
    }
    if (!request) {
      pool.queue.remove(entry.request);
      continue;
    }
    if (!serveEntry(state, pool, request)) {
      return;
    }
  }
}

function serveEntry(
  state: SteeringState,
  pool: Pool,
  request: RequestState,
): boolean {
  const {nowMs} = state.context.time();
  if (nowMs + pool.serviceTimeMs / 2 > request.facts.deadlineMs) {
    refuse(state, request, 'deadline-too-short');
    return true;
  }
  const taken = takeSlot(pool, request, state.context);
  if (!taken) {
    return false;
  }
  pool.queue.remove(request.facts.id);
  request.queued = false;
  sendToTarget(state, pool, request, taken.record, taken.token, false);
  return true;
}
