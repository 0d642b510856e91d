/** Further attempts: retries after failures, and hedges of slow attempts. */
import type {AttemptResult} from '../model/index.js';
import {
  chooseRelay,
  enqueueRequest,
  relayWithinRegion,
  startAtLocalTarget,
} from './admissions.js';
import {sendToTarget, relayToVm} from './attempts.js';
import {countFreeSlots, takeSlot, countUsableSlots} from './pool.js';
import type {RequestState} from './requests.js';
import {type SteeringState, getRetryBudget} from './state.js';
import {placeSuspectRequest} from './suspect_requests.js';

/** Retries the request; returns false if it must be refused instead. */
export function retryRequest(
  state: SteeringState,
  request: RequestState,
  result: AttemptResult,
): boolean {
  const {context} = state;
  const {metadata, policy} = request;
  const {nowMs} = context.time();
  const {maximumAttempts} = context.parameters;
  if (nowMs >= metadata.deadlineMs || request.attemptsMade >= maximumAttempts) {
    return false;
  }
  const suspect = placeSuspectRequest(state, metadata);
  if (suspect?.kind === 'refused') {
    return false;
  }
  const budget = getRetryBudget(
    state,
    metadata.workspace,
    metadata.service,
    policy,
  );
  if (!canPlace(state, request, result) || !budget.takeRetry()) {
    return false;
  }
  if (suspect?.kind === 'vm') {
    relayToVm(state, request, suspect.vm, suspect.region);
    return true;
  }
  return dispatchRetry(state, request);
}

/** Checked first, so that a retry that cannot be placed costs no budget. */
function canPlace(
  state: SteeringState,
  request: RequestState,
  result: AttemptResult,
): boolean {
  if (request.region !== state.context.region) {
    return chooseRelay(state, request) !== undefined;
  }
  const pool = state.pools.get(request.metadata.service);
  if (!pool) {
    return false;
  }
  return result.kind !== 'shed' || countFreeSlots(pool, state.context) > 0;
}

function dispatchRetry(state: SteeringState, request: RequestState): boolean {
  if (request.region !== state.context.region) {
    const vm = chooseRelay(state, request);
    if (vm === undefined) {
      return false;
    }
    relayToVm(state, request, vm, request.region);
    return true;
  }
  const pool = state.pools.get(request.metadata.service);
  if (!pool) {
    return false;
  }
  if (
    startAtLocalTarget(state, pool, request) ||
    relayWithinRegion(state, request)
  ) {
    return true;
  }
  enqueueRequest(state, pool, request);
  return true;
}

/** Starts the hedges that are due, if headroom and budget allow. */
export function startHedges(state: SteeringState): void {
  const {nowMs} = state.context.time();
  const due = state.scheduledHedges.filter(hedge => hedge.atMs <= nowMs);
  if (due.length === 0) {
    return;
  }
  const later = state.scheduledHedges.filter(hedge => hedge.atMs > nowMs);
  state.scheduledHedges.splice(0, state.scheduledHedges.length, ...later);
  for (const {request: id} of due) {
    const request = state.requests.get(id);
    if (request && !request.closed && request.attempts.size === 1) {
      startHedge(state, request);
    }
  }
}

function startHedge(state: SteeringState, request: RequestState): void {
  const {context} = state;
  const {metadata, policy} = request;
  const pool = state.pools.get(metadata.service);
  const [running] = request.attempts.values();
  if (!pool || !running || running.answering || running.cancelling) {
    return;
  }
  const slots = countUsableSlots(pool, context);
  const free = countFreeSlots(pool, context);
  const lacksHeadroom =
    free < Math.max(1, slots * policy.hedging.minimumHeadroom);
  if (lacksHeadroom || placeSuspectRequest(state, metadata)) {
    return;
  }
  const budget = getRetryBudget(
    state,
    metadata.workspace,
    metadata.service,
    policy,
  );
  const taken = takeSlot(pool, request, context);
  if (!taken) {
    return;
  }
  if (!budget.takeHedge()) {
    pool.slotLedger.release(taken.token);
    return;
  }
  sendToTarget(state, pool, request, taken.record, taken.token, true);
}
