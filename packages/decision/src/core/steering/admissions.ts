/** Handles new requests: placement, admission, queueing and relays. */
import type {RequestMetadata, ServicePolicy, VmId} from '../model/index.js';
import {sendToTarget, relayToVm} from './attempts.js';
import {findLivePeers} from './context.js';
import {computeForeignSlotLimit, placeRequest} from './placement.js';
import {type Pool, takeSlot, countUsableSlots} from './pool.js';
import {refuseRequest} from './refusals.js';
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
  metadata: RequestMetadata,
): void {
  const {context} = state;
  if (state.requests.has(metadata.id)) {
    return;
  }
  const policy = findPolicy(state, metadata.workspace, metadata.service);
  const {nowMs} = context.time();
  if (!policy) {
    refuseUnconfigured(state, metadata);
    return;
  }
  if (!context.fresh()) {
    refuseStale(state, metadata);
    return;
  }
  const placement =
    placeSuspectRequest(state, metadata) ??
    placeRequest(state, metadata, policy);
  const region =
    placement.kind === 'refused' ? context.region : placement.region;
  const foreign = placement.kind === 'region' && placement.foreign;
  const request = createRequestState(metadata, policy, region, foreign, nowMs);
  if (state.requests.size >= context.parameters.maximumRequests) {
    refuseRequest(state, request, 'overloaded', RETRY_AFTER_NOT_READY_MS);
    return;
  }
  state.requests.set(metadata.id, request);
  for (const target of state.crashSuspicions.lostTargets(
    metadata.fingerprint,
  )) {
    request.triedTargets.add(target);
  }
  if (metadata.deadlineMs <= nowMs) {
    refuseRequest(state, request, 'deadline-expired');
    return;
  }
  if (placement.kind === 'refused') {
    refuseRequest(state, request, placement.reason, placement.retryAfterMs);
    return;
  }
  if (placement.kind === 'vm') {
    relayToVm(state, request, placement.vm, placement.region);
    return;
  }
  admitOrRelay(state, request);
}

/**
 * Refuses work under a stale configuration: approvals may have been revoked and
 * targets removed in the meantime.
 */
function refuseStale(state: SteeringState, metadata: RequestMetadata): void {
  const {context} = state;
  const reason = 'configuration-stale';
  context.note({
    kind: 'decision',
    request: metadata.id,
    explanation: [
      `refused: ${reason}: no recent contact with the store or peers`,
    ],
  });
  context.emit({
    kind: 'refuse',
    request: metadata.id,
    reason,
    outcome: 'not-run',
    retryAfterMs: RETRY_AFTER_STALE_MS,
  });
}

function refuseUnconfigured(
  state: SteeringState,
  metadata: RequestMetadata,
): void {
  const {context} = state;
  const configuration = context.configuration();
  const workspace = configuration?.workspaces.get(metadata.workspace);
  let reason: 'no-configuration' | 'unknown-workspace' | 'unknown-service' =
    'no-configuration';
  if (configuration) {
    reason = workspace ? 'unknown-service' : 'unknown-workspace';
  }
  context.note({
    kind: 'decision',
    request: metadata.id,
    explanation: [`refused: ${reason}`],
  });
  context.emit({
    kind: 'refuse',
    request: metadata.id,
    reason,
    outcome: 'not-run',
    retryAfterMs: configuration ? undefined : RETRY_AFTER_NOT_READY_MS,
  });
}

/** Admits a request of this region; relays others to their region. */
export function admitOrRelay(
  state: SteeringState,
  request: RequestState,
): void {
  if (request.region === state.context.region) {
    admit(state, request);
    return;
  }
  const peer = chooseRelay(state, request);
  if (peer === undefined) {
    refuseRequest(
      state,
      request,
      'no-healthy-target',
      RETRY_AFTER_NO_CAPACITY_MS,
    );
    return;
  }
  relayToVm(state, request, peer, request.region);
}

/**
 * Chooses a live, untried VM of the request's region, preferring free slots. If
 * all of them are known to be full, returns a random one in another region, and
 * undefined in this region.
 */
export function chooseRelay(
  state: SteeringState,
  request: RequestState,
): VmId | undefined {
  const {context, peerLoads} = state;
  const {service} = request.metadata;
  const live = findLivePeers(context, request.region);
  const untried = live.filter(vm => !request.triedVms.has(vm));
  const {nowMs} = context.time();
  const chosen = peerLoads.choosePeer(untried, service, nowMs);
  if (chosen !== undefined || request.region === context.region) {
    return chosen;
  }
  return untried[context.random.below(Math.max(1, untried.length))];
}

function admit(state: SteeringState, request: RequestState): void {
  const {context} = state;
  const {metadata, policy} = request;
  const pool = state.pools.get(metadata.service);
  if (!pool) {
    refuseRequest(state, request, 'unknown-service');
    return;
  }
  pool.lastDemandMs.set(metadata.workspace, context.time().nowMs);
  state.touchedPools.add(pool);
  if (request.foreign) {
    const limit = computeForeignSlotLimit(state, pool, metadata, policy);
    if (pool.foreignInFlight >= limit) {
      const {capFraction, intervalMs} = policy.shift;
      const slots = Math.max(1, pool.slotLedger.ownedSlots() * capFraction);
      refuseRequest(state, request, 'shift-cap-reached', intervalMs / slots);
      return;
    }
  }
  if (isWorkspaceShareUsed(state, pool, request)) {
    refuseRequest(
      state,
      request,
      'workspace-share-used',
      RETRY_AFTER_SHARE_USED_MS,
    );
    return;
  }
  if (pool.queue.size() === 0 && startAtLocalTarget(state, pool, request)) {
    return;
  }
  if (relayWithinRegion(state, request)) {
    return;
  }
  enqueueRequest(state, pool, request);
}

/** Whether the workspace is at its limit while others compete for slots. */
function isWorkspaceShareUsed(
  state: SteeringState,
  pool: Pool,
  request: RequestState,
): boolean {
  const {workspace} = request.metadata;
  const {maximumPoolFraction} = request.policy;
  if (maximumPoolFraction >= 1) {
    return false;
  }
  const {nowMs} = state.context.time();
  const used = pool.inFlightByWorkspace.get(workspace) ?? 0;
  const maximumSlots = Math.max(
    1,
    Math.floor(countUsableSlots(pool, state.context) * maximumPoolFraction),
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

/** Sends the request to a target if this VM has a free slot at one. */
export function startAtLocalTarget(
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
  const suspicion = state.crashSuspicions.stateOf(
    request.metadata.fingerprint,
    nowMs,
  );
  if (request.metadata.relayedFrom || suspicion !== 'clear') {
    return false;
  }
  const peer = chooseRelay(state, request);
  if (peer === undefined) {
    return false;
  }
  relayToVm(state, request, peer, request.region);
  return true;
}

/** Queues the request, or refuses it if it would miss its deadline. */
export function enqueueRequest(
  state: SteeringState,
  pool: Pool,
  request: RequestState,
): void {
  const {context} = state;
  const {metadata, policy} = request;
  const slots = countUsableSlots(pool, context);
  if (slots === 0 && !pool.shareGrowth.isWaiting()) {
    refuseRequest(
      state,
      request,
      'no-healthy-target',
      RETRY_AFTER_NO_CAPACITY_MS,
    );
    return;
  }
  const waitMs = expectedWaitMs(pool, policy, slots);
  const {nowMs} = context.time();
  if (nowMs + waitMs + pool.serviceTimeMs > metadata.deadlineMs) {
    refuseRequest(state, request, 'deadline-too-short', waitMs);
    return;
  }
  const capacity = Math.max(
    MINIMUM_QUEUE_CAPACITY,
    Math.ceil(Math.max(slots, 1) * context.parameters.queueCapacityPerSlot),
  );
  request.queued = true;
  const evicted = pool.queue.enqueue(
    {
      request: metadata.id,
      workspace: metadata.workspace,
      priority: policy.priority,
      deadlineMs: metadata.deadlineMs,
    },
    capacity,
  );
  context.wakeAt(metadata.deadlineMs);
  const evictedRequest = evicted && state.requests.get(evicted.request);
  if (evictedRequest) {
    evictedRequest.queued = false;
    refuseRequest(
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
      refuseRequest(state, expired, 'deadline-expired');
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
  if (nowMs + pool.serviceTimeMs / 2 > request.metadata.deadlineMs) {
    refuseRequest(state, request, 'deadline-too-short');
    return true;
  }
  const taken = takeSlot(pool, request, state.context);
  if (!taken) {
    return false;
  }
  pool.queue.remove(request.metadata.id);
  request.queued = false;
  sendToTarget(state, pool, request, taken.record, taken.token, false);
  return true;
}
