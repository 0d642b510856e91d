/** Starts attempts and keeps account of what each holds. */
import type {SlotToken} from '../capacity/index.js';
import type {
  AttemptDestination,
  RegionName,
  VmId,
  WorkspaceName,
} from '../model/index.js';
import type {TargetRecord} from '../routing/index.js';
import type {Pool} from './pool.js';
import {refuse} from './refusals.js';
import type {AttemptState, RequestState} from './requests.js';
import type {SteeringState} from './state.js';

const RETRY_LINK_MS = 1_000;
const KILOBYTE = 1_024;
/** Assumed length of an answer of which nothing is known. */
const ASSUMED_ANSWER_BYTES = 16 * KILOBYTE;

/** Sends the request to a target whose slot has been taken. */
export function sendToTarget(
  state: SteeringState,
  pool: Pool,
  request: RequestState,
  record: TargetRecord,
  token: SlotToken,
  hedge: boolean,
): void {
  const {context} = state;
  const reserved = reserveLink(state, request);
  if (reserved === undefined) {
    pool.holdings.release(token);
    refuse(state, request, 'link-budget-used', RETRY_LINK_MS);
    return;
  }
  const {workspace} = request.facts;
  const {target} = record;
  record.lastUsedAtMs = context.time().nowMs;
  request.triedTargets.add(target.id);
  countInFlight(pool, workspace, 1);
  pool.foreignInFlight += request.foreign ? 1 : 0;
  start(state, request, {kind: 'target', target: target.id}, hedge, {
    token,
    linkBytesPerSecond: reserved,
  });
  if (!hedge) {
    planHedge(state, pool, request);
  }
}

/** Passes the request to another entry VM. */
export function sendToVm(
  state: SteeringState,
  request: RequestState,
  vm: VmId,
  region: RegionName,
): void {
  request.triedVms.add(vm);
  state.peers.used(vm, request.facts.service);
  start(state, request, {kind: 'relay', vm, region}, false, {
    linkBytesPerSecond: 0,
  });
}

function start(
  state: SteeringState,
  request: RequestState,
  destination: AttemptDestination,
  hedge: boolean,
  held: Pick<AttemptState, 'token' | 'linkBytesPerSecond'>,
): void {
  const {context} = state;
  request.attemptsMade += 1;
  const attempt: AttemptState = {
    number: request.attemptsMade,
    destination,
    deadlineMs: request.facts.deadlineMs,
    startedMs: context.time().nowMs,
    hedge,
    ...held,
    sent: false,
    answering: false,
    cancelling: false,
  };
  request.attempts.set(attempt.number, attempt);
  context.emit({
    kind: 'send-attempt',
    request: request.facts.id,
    attempt: attempt.number,
    destination,
    deadlineMs: attempt.deadlineMs,
    hedge,
    paceBytesPerSecond: held.linkBytesPerSecond || undefined,
  });
  explainSample(state, request, attempt);
}

/** Explains one in so many choices. */
function explainSample(
  state: SteeringState,
  request: RequestState,
  attempt: AttemptState,
): void {
  state.counters.decisions += 1;
  const {explanationSample} = state.context.parameters;
  if (state.counters.decisions % explanationSample !== 1) {
    return;
  }
  const {destination} = attempt;
  const where =
    destination.kind === 'target'
      ? `target ${destination.target}`
      : `vm ${destination.vm}`;
  state.context.note({
    kind: 'decision',
    request: request.facts.id,
    explanation: [
      `chosen: ${where}`,
      `preference ${request.policy.preference}`,
    ],
  });
}

/** Bytes a second reserved on the link to the asking region; 0 if none. */
function reserveLink(
  state: SteeringState,
  request: RequestState,
): number | undefined {
  const {facts, policy} = request;
  const {context} = state;
  const to = facts.relayedFrom?.region;
  if (to === undefined || to === context.region) {
    return 0;
  }
  const {nowMs} = context.time();
  const reserved = state.links.reserve(
    to,
    {
      bytes: facts.expectedResponseBytes ?? ASSUMED_ANSWER_BYTES,
      remainingMs: facts.deadlineMs - nowMs,
      trafficClass: policy.trafficClass,
    },
    nowMs,
  );
  return reserved?.bytesPerSecond;
}

/** Gives back what an attempt held; a slot maybe only after a grace. */
export function releaseAttempt(
  state: SteeringState,
  pool: Pool | undefined,
  request: RequestState,
  attempt: AttemptState,
  mayStillRun: boolean,
): void {
  const {context} = state;
  const to = request.facts.relayedFrom?.region;
  if (to !== undefined && attempt.linkBytesPerSecond > 0) {
    state.links.release(to, attempt.linkBytesPerSecond);
  }
  if (!pool || !attempt.token) {
    return;
  }
  countInFlight(pool, request.facts.workspace, -1);
  pool.foreignInFlight -= request.foreign ? 1 : 0;
  if (!mayStillRun) {
    pool.holdings.release(attempt.token);
    return;
  }
  const untilMs = context.time().nowMs + context.parameters.cancellationGraceMs;
  state.cooling.push({token: attempt.token, pool, untilMs});
  context.wakeAt(untilMs);
}

function countInFlight(
  pool: Pool,
  workspace: WorkspaceName,
  change: number,
): void {
  const next = (pool.inFlightByWorkspace.get(workspace) ?? 0) + change;
  if (next <= 0) {
    pool.inFlightByWorkspace.delete(workspace);
    return;
  }
  pool.inFlightByWorkspace.set(workspace, next);
}

/** Notes when a second attempt may start. */
function planHedge(
  state: SteeringState,
  pool: Pool,
  request: RequestState,
): void {
  const {hedging} = request.policy;
  const mayHedge =
    hedging.enabled && request.facts.idempotent && request.attemptsMade === 1;
  const afterMs = pool.latencies.quantile(hedging.quantile);
  if (!mayHedge || afterMs === undefined) {
    return;
  }
  const atMs = state.context.time().nowMs + afterMs;
  state.hedges.push({request: request.facts.id, atMs});
  state.context.wakeAt(atMs);
}
