/** Starts attempts and tracks the slot and bandwidth that each one holds. */
import type {SlotToken} from '../capacity/index.js';
import type {
  AttemptDestination,
  RegionName,
  VmId,
  WorkspaceName,
} from '../model/index.js';
import type {TargetRecord} from '../routing/index.js';
import type {Pool} from './pool.js';
import {refuseRequest} from './refusals.js';
import type {AttemptState, RequestState} from './requests.js';
import type {SteeringState} from './state.js';

const RETRY_AFTER_LINK_FULL_MS = 1_000;
const KIBIBYTE = 1_024;
/** Assumed response size if no estimate is known. */
const DEFAULT_RESPONSE_BYTES = 16 * KIBIBYTE;

/** Sends the request to a target at which a slot has been taken. */
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
    pool.slotLedger.release(token);
    refuseRequest(state, request, 'link-budget-used', RETRY_AFTER_LINK_FULL_MS);
    return;
  }
  const {workspace} = request.metadata;
  const {target} = record;
  record.lastUsedAtMs = context.time().nowMs;
  request.triedTargets.add(target.id);
  adjustInFlight(pool, workspace, 1);
  pool.foreignInFlight += request.foreign ? 1 : 0;
  startAttempt(state, request, {kind: 'target', target: target.id}, hedge, {
    token,
    linkBytesPerSecond: reserved,
  });
  if (!hedge) {
    scheduleHedge(state, pool, request);
  }
}

/** Relays the request to another entry VM. */
export function relayToVm(
  state: SteeringState,
  request: RequestState,
  vm: VmId,
  region: RegionName,
): void {
  request.triedVms.add(vm);
  state.peerLoads.recordRelay(vm, request.metadata.service);
  startAttempt(state, request, {kind: 'relay', vm, region}, false, {
    linkBytesPerSecond: 0,
  });
}

function startAttempt(
  state: SteeringState,
  request: RequestState,
  destination: AttemptDestination,
  hedge: boolean,
  resources: Pick<AttemptState, 'token' | 'linkBytesPerSecond'>,
): void {
  const {context} = state;
  request.attemptsMade += 1;
  const attempt: AttemptState = {
    number: request.attemptsMade,
    destination,
    deadlineMs: request.metadata.deadlineMs,
    startedMs: context.time().nowMs,
    hedge,
    ...resources,
    sent: false,
    answering: false,
    cancelling: false,
  };
  request.attempts.set(attempt.number, attempt);
  context.emit({
    kind: 'send-attempt',
    request: request.metadata.id,
    attempt: attempt.number,
    destination,
    deadlineMs: attempt.deadlineMs,
    hedge,
    paceBytesPerSecond: resources.linkBytesPerSecond || undefined,
  });
  explainIfSampled(state, request, attempt);
}

/** Emits a decision note for one in `explanationSampleInterval` attempts. */
function explainIfSampled(
  state: SteeringState,
  request: RequestState,
  attempt: AttemptState,
): void {
  state.counters.attemptsStarted += 1;
  const {explanationSampleInterval} = state.context.parameters;
  if (state.counters.attemptsStarted % explanationSampleInterval !== 1) {
    return;
  }
  const {destination} = attempt;
  const where =
    destination.kind === 'target'
      ? `target ${destination.target}`
      : `VM ${destination.vm} in region ${destination.region}`;
  state.context.note({
    kind: 'decision',
    request: request.metadata.id,
    explanation: [
      `chosen: ${where}`,
      `preference ${request.policy.preference}`,
    ],
  });
}

/**
 * Reserves link bandwidth for the response to the relaying region.
 *
 * @returns Bytes per second, 0 if the response crosses no link, or undefined if
 *     the link has too little bandwidth left.
 */
function reserveLink(
  state: SteeringState,
  request: RequestState,
): number | undefined {
  const {metadata, policy} = request;
  const {context} = state;
  const to = metadata.relayedFrom?.region;
  if (to === undefined || to === context.region) {
    return 0;
  }
  const {nowMs} = context.time();
  const reserved = state.links.reserve(
    to,
    {
      bytes: metadata.expectedResponseBytes ?? DEFAULT_RESPONSE_BYTES,
      remainingMs: metadata.deadlineMs - nowMs,
      trafficClass: policy.trafficClass,
    },
    nowMs,
  );
  return reserved?.bytesPerSecond;
}

/**
 * Releases the bandwidth and the slot of an attempt. If the target may still be
 * running the request, its slot is released after the cancellation grace
 * period.
 */
export function releaseAttempt(
  state: SteeringState,
  pool: Pool | undefined,
  request: RequestState,
  attempt: AttemptState,
  mayStillRun: boolean,
): void {
  const {context} = state;
  const to = request.metadata.relayedFrom?.region;
  if (to !== undefined && attempt.linkBytesPerSecond > 0) {
    state.links.release(to, attempt.linkBytesPerSecond);
  }
  if (!pool || !attempt.token) {
    return;
  }
  adjustInFlight(pool, request.metadata.workspace, -1);
  pool.foreignInFlight -= request.foreign ? 1 : 0;
  if (!mayStillRun) {
    pool.slotLedger.release(attempt.token);
    return;
  }
  const untilMs = context.time().nowMs + context.parameters.cancellationGraceMs;
  state.delayedReleases.push({token: attempt.token, pool, untilMs});
  context.wakeAt(untilMs);
}

function adjustInFlight(
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

/** Schedules a hedge once the attempt exceeds the latency quantile. */
function scheduleHedge(
  state: SteeringState,
  pool: Pool,
  request: RequestState,
): void {
  const {hedging} = request.policy;
  const mayHedge =
    hedging.enabled &&
    request.metadata.idempotent &&
    request.attemptsMade === 1;
  const afterMs = pool.latencies.quantile(hedging.quantile);
  if (!mayHedge || afterMs === undefined) {
    return;
  }
  const atMs = state.context.time().nowMs + afterMs;
  state.scheduledHedges.push({request: request.metadata.id, atMs});
  state.context.wakeAt(atMs);
}
