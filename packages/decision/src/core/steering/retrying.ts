/** Further attempts: retries after failures, and hedges of slow attempts. */
import type {AttemptResult} from '../model/index.js';
import {
  chooseRelay,
  enqueue,
  relayWithinRegion,
  startLocally,
} from './admissions.js';
import {sendToTarget, sendToVm} from './attempts.js';
import {freeSlots, takeSlot, usableSlots} from './pool.js';
import type {RequestState} from './requests.js';
import {type SteeringState, getRetryBudget} from './state.js';
import {placeSuspectRequest} from './suspect_requests.js';

/** Retries the request; returns false if it must be refused instead. */
export function retry(
  state: SteeringState,
  request: RequestState,
  result: AttemptResult,
): boolean {
  const {context} = state;
  const {facts, policy} = request;
  const {nowMs} = context.time();
  const {maximumAttempts} = context.parameters;
  if (nowMs >= facts.deadlineMs || request.attemptsMade >= maximumAttempts) {
    return false;
  }
  const suspect = placeSuspectRequest(state, facts);
  if (suspect?.kind === 'refused') {
    return false;
  }
  const budget = getRetryBudget(state, facts.workspace, facts.service, policy);
  if (!canPlace(state, request, result) || !budget.takeRetry()) {
    return false;
  }
  if (suspect?.kind === 'vm') {
    sendToVm(state, request, suspect.vm, suspect.region);
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
  const pool = state.pools.get(request.facts.service);
  if (!pool) {
    return false;
  }
  return result.kind !== 'shed' || freeSlots(pool, state.context) > 0;
}

function dispatchRetry(state: SteeringState, request: RequestState): boolean {
  if (request.region !== state.context.region) {
    const vm = chooseRelay(state, request);
    if (vm === undefined) {
      return false;
    }
    sendToVm(state, request, vm, request.region);
    return true;
  }
  const pool = state.pools.get(request.facts.service);
  if (!pool) {
    return false;
  }
  if (startLocally(state, pool, request) || relayWithinRegion(state, request)) {
    return true;
  }
  enqueue(state, pool, request);
  return true;
}

/** Starts the hedges that are due, if headroom and budget allow. */
export function startHedges(state: SteeringState): void {
  const {nowMs} = state.context.time();
  const due = state.hedges.filter(hedge => hedge.atMs <= nowMs);
  if (due.length === 0) {
    return;
  }
  const later = state.hedges.filter(hedge => hedge.atMs > nowMs);
  state.hedges.splice(0, state.hedges.length, ...later);
  for (const {request: id} of due) {
    const request = state.requests.get(id);
    if (request && !request.closed && request.attempts.size === 1) {
      startHedge(state, request);
    }
  }
}

function startHedge(state: SteeringState, request: RequestState): void {
  const {context} = state;
  const {facts, policy} = request;
  const pool = state.pools.get(facts.service);
  const [running] = request.attempts.values();
  if (!pool || !running || running.answering || running.cancelling) {
    return;
  }
  const slots = usableSlots(pool, context);
  const free = freeSlots(pool, context);
  const lacksHeadroom =
    free < Math.max(1, slots * policy.hedging.minimumHeadroom);
  if (lacksHeadroom || placeSuspectRequest(state, facts)) {
    return;
  }
  const budget = getRetryBudget(state, facts.workspace, facts.service, policy);
  const taken = takeSlot(pool, request, context);
  if (!taken) {
    return;
  }
  if (!budget.takeHedge()) {
    pool.holdings.release(taken.token);
    return;
  }
  sendToTarget(state, pool, request, taken.record, taken.token, true);
}
