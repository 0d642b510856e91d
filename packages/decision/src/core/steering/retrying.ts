/** Further attempts: after a failure, and hedges beside a slow one. */
import type {AttemptResult} from '../model/index.js';
import {
  chooseRelay,
  enqueue,
  relayWithinRegion,
  startHere,
} from './admissions.js';
import {sendToTarget, sendToVm} from './attempts.js';
import {freeSlots, takeSlot, workingSlots} from './pool.js';
import type {RequestState} from './requests.js';
import {type SteeringState, budgetOf} from './state.js';
import {placeSuspect} from './suspects.js';

/** Tries the request again; false if it must be answered for now. */
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
  const suspect = placeSuspect(state, facts);
  if (suspect?.kind === 'refused') {
    return false;
  }
  const budget = budgetOf(state, facts.workspace, facts.service, policy);
  if (!canPlace(state, request, result) || !budget.takeRetry()) {
    return false;
  }
  if (suspect?.kind === 'vm') {
    sendToVm(state, request, suspect.vm, suspect.region);
    return true;
  }
  return tryElsewhere(state, request);
}

/** A retry is not taken out of the budget where nothing could take it. */
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

function tryElsewhere(state: SteeringState, request: RequestState): boolean {
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
  if (startHere(state, pool, request) || relayWithinRegion(state, request)) {
    return true;
  }
  enqueue(state, pool, request);
  return true;
}

/** Starts the hedges that are due and allowed. */
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
  const slots = workingSlots(pool, context);
  const free = freeSlots(pool, context);
  const short = free < Math.max(1, slots * policy.hedging.minimumHeadroom);
  if (short || placeSuspect(state, facts)) {
    return;
  }
  const budget = budgetOf(state, facts.workspace, facts.service, policy);
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
