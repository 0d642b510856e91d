/** Handles new requests: placement, admission, queueing and relays. */
import type {RequestMetadata, ServicePolicy, VmId} from '../model/index.js';
import {sendToTarget, sendToVm} from './attempts.js';
import {liveVms} from './context.js';
import {foreignSlotLimit, placeRequest} from './placement.js';
import {type Pool, takeSlot, usableSlots} from './pool.js';
import {refuse} from './refusals.js';
import {type RequestState, createRequestState} from './requests.js';
import {type SteeringState, findPolicy} from './state.js';
import {placeSuspectRequest} from './suspect_requests.js';

/** For refusals without a configuration or with too many requests. */
const RETRY_AFTER_NOT_READY_MS = 1_000;
const RETRY_AFTER_NO_CAPACITY_MS = 1_000;
const RETRY_AFTER_STALE_MS = 1_000;
const MINIMUM_QUEUE_CAPACITY = 2;
/** How long a workspace competes for slots after its last request. */
const WORKSPACE_DEMAND_LIFETIME_MS = 5_000;
const RETRY_AFTER_SHARE_USED_MS = 500;

export function handleRequestArrived(
  state: SteeringState,
  facts: RequestMetadata,
): void {
  const {context} = state;
  if (state.requests.has(facts.id)) {
    return;
  }
  const policy = findPolicy(state, facts.workspace, facts.service);
  const {nowMs} = context.time();
  if (!policy) {
    refuseUnconfigured(state, facts);
    return;
  }
  if (!context.fresh()) {
    refuseStale(state, facts);
    return;
  }
  const placement =
    placeSuspectRequest(state, facts) ?? placeRequest(state, facts, policy);
  const region =
    placement.kind === 'refused' ? context.region : placement.region;
  const foreign = placement.kind === 'region' && placement.foreign;
  const request = createRequestState(facts, policy, region, foreign, nowMs);
  if (state.requests.size >= context.parameters.maximumRequests) {
    refuse(state, request, 'overloaded', RETRY_AFTER_NOT_READY_MS);
    return;
  }
  state.requests.set(facts.id, request);
  for (const target of state.suspicions.lostTargets(facts.fingerprint)) {
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

/**
 * Refuses work under a stale configuration: approvals may have been revoked and
 * targets removed in the meantime.
 */
function refuseStale(state: SteeringState, facts: RequestMetadata): void {
  const {context} = state;
  const reason = 'configuration-stale';
  context.note({
    kind: 'decision',
    request: facts.id,
    explanation: [
      `refused: ${reason}: no recent contact with the store or peers`,
    ],
  });
  context.emit({
    kind: 'refuse',
    request: facts.id,
    reason,
    outcome: 'not-run',
    retryAfterMs: RETRY_AFTER_STALE_MS,
  });
}

function refuseUnconfigured(
  state: SteeringState,
  facts: RequestMetadata,
): void {
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
    retryAfterMs: configuration ? undefined : RETRY_AFTER_NOT_READY_MS,
  });
}

/** Admits the request here, or relays it to its region. */
export function place(state: SteeringState, request: RequestState): void {
  if (request.region === state.context.region) {
    admit(state, request);
    return;
  }
  const peer = chooseRelay(state, request);
  if (peer === undefined) {
    refuse(state, request, 'no-healthy-target', RETRY_AFTER_NO_CAPACITY_MS);
    return;
  }
  sendToVm(state, request, peer, request.region);
}

/**
 * Chooses a live, untried VM of the request's region, preferring free slots.
 * If all VMs of another region are known to be full, any of them is chosen;
 * within this region there is none then.
 */
export function chooseRelay(
  state: SteeringState,
  request: RequestState,
): VmId | undefined {
  const {context, peers} = state;
  const {service} = request.facts;
  const live = liveVms(context, request.region);
  const untried = live.filter(vm => !request.triedVms.has(vm));
  const {nowMs} = context.time();
  const chosen = peers.choose(untried, service, nowMs);
  if (chosen !== undefined || request.region === context.region) {
    return chosen;
  }
  return untried[context.random.below(Math.max(1, untried.length))];
}

function admit(state: SteeringState, request: RequestState): void {
  const {context} = state;
  const {facts, policy} = request;
  const pool = state.pools.get(facts.service);
  if (!pool) {
    refuse(state, request, 'unknown-service');
    return;
  }
  pool.lastDemandMs.set(facts.workspace, context.time().nowMs);
  state.touchedPools.add(pool);
  if (request.foreign) {
    const limit = foreignSlotLimit(state, pool, facts, policy);
    if (pool.foreignInFlight >= limit) {
      const {capFraction, intervalMs} = policy.shift;
      const slots = Math.max(1, pool.holdings.ownedSlots() * capFraction);
      refuse(state, request, 'shift-cap-reached', intervalMs / slots);
      return;
    }
  }
  if (isWorkspaceShareUsed(state, pool, request)) {
    refuse(state, request, 'workspace-share-used', RETRY_AFTER_SHARE_USED_MS);
    return;
  }
  if (pool.queue.size() === 0 && startLocally(state, pool, request)) {
    return;
  }
  if (relayWithinRegion(state, request)) {
    return;
  }
  enqueue(state, pool, request);
}

/** Whether the workspace is at its limit while others compete for slots. */
function isWorkspaceShareUsed(
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
  const maximumSlots = Math.max(
    1,
    Math.floor(usableSlots(pool, state.context) * maximumPoolFraction),
  );
  if (used < maximumSlots) {
    return false;
  }
  for (const [other, demandMs] of pool.lastDemandMs) {
    if (
      other !== workspace &&
      nowMs - demandMs < WORKSPACE_DEMAND_LIFETIME_MS
    ) {
      return true;
    }
  }
  return false;
}

/** Sends the request to a target if this VM has a free slot. */
export function startLocally(
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

/**
 * Relays the request to another VM of this region. Requests that were relayed
 * before or are suspected of crashing targets are not relayed.
 */
export function relayWithinRegion(
  state: SteeringState,
  request: RequestState,
): boolean {
  const {nowMs} = state.context.time();
  const suspicion = state.suspicions.stateOf(request.facts.fingerprint, nowMs);
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

/** Queues the request, or refuses it if it would miss its deadline. */
export function enqueue(
  state: SteeringState,
  pool: Pool,
  request: RequestState,
): void {
  const {context} = state;
  const {facts, policy} = request;
  const slots = usableSlots(pool, context);
  if (slots === 0 && !pool.growth.isWaiting()) {
    refuse(state, request, 'no-healthy-target', RETRY_AFTER_NO_CAPACITY_MS);
    return;
  }
  const waitMs = expectedWaitMs(pool, policy, slots);
  const {nowMs} = context.time();
  if (nowMs + waitMs + pool.serviceTimeMs > facts.deadlineMs) {
    refuse(state, request, 'deadline-too-short', waitMs);
    return;
  }
  const capacity = Math.max(
    MINIMUM_QUEUE_CAPACITY,
    Math.ceil(Math.max(slots, 1) * context.parameters.queueCapacityPerSlot),
  );
  request.queued = true;
  const evicted = pool.queue.enqueue(
    {
      request: facts.id,
      workspace: facts.workspace,
      priority: policy.priority,
      deadlineMs: facts.deadlineMs,
    },
    capacity,
  );
  context.wakeAt(facts.deadlineMs);
  const evictedRequest = evicted && state.requests.get(evicted.request);
  if (evictedRequest) {
    evictedRequest.queued = false;
    refuse(
      state,
      evictedRequest,
      'region-full',
      expectedWaitMs(pool, policy, slots),
    );
  }
}

function expectedWaitMs(
  pool: Pool,
  policy: ServicePolicy,
  slots: number,
): number {
  const position = pool.queue.countAhead(policy.priority) + 1;
  return (position * pool.serviceTimeMs) / Math.max(1, slots);
}

/** Dispatches queued requests while slots are free; refuses expired ones. */
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
