/**
 * Placement of requests that are suspected of crashing targets. A suspect
 * request runs on a single VM of the fleet, one attempt per fingerprint at a
 * time. It does not run during a network partition between regions.
 */
import {rankByRendezvous} from '../hashing/index.js';
import type {RequestMetadata, VmId} from '../model/index.js';
import type {PlacementDecision} from './placement.js';
import type {SteeringState} from './state.js';

const RETRY_AFTER_SUSPECT_MS = 250;

/** Places a suspect request; undefined if the request is not suspected. */
export function placeSuspectRequest(
  state: SteeringState,
  metadata: RequestMetadata,
): PlacementDecision | undefined {
  const {context, crashSuspicions} = state;
  const {nowMs} = context.time();
  const suspicion = crashSuspicions.stateOf(metadata.fingerprint, nowMs);
  if (suspicion === 'clear') {
    return undefined;
  }
  if (suspicion === 'quarantined') {
    const retryAfterMs =
      crashSuspicions.suspectedUntilMs(metadata.fingerprint) - nowMs;
    return {kind: 'refused', reason: 'request-quarantined', retryAfterMs};
  }
  const suspectVm = mayRunSuspects(state)
    ? chooseSuspectVm(state, metadata)
    : undefined;
  if (suspectVm === context.vm && !isAlreadyRunning(state, metadata)) {
    return {kind: 'region', region: context.region, foreign: false};
  }
  const vm = context.configuration()?.entryVms.get(suspectVm ?? context.vm);
  if (!vm || vm.id === context.vm || metadata.relayedFrom) {
    return {
      kind: 'refused',
      reason: 'request-quarantined',
      retryAfterMs: RETRY_AFTER_SUSPECT_MS,
    };
  }
  return {kind: 'vm', vm: vm.id, region: vm.region};
}

/**
 * While a region is silent or this VM doubts its own connectivity, it cannot
 * know which targets the other VMs have lost.
 */
function mayRunSuspects(state: SteeringState): boolean {
  const view = state.context.view();
  return !view || (view.silentRegions.size === 0 && !view.selfDoubt);
}

/** The VM on which a suspect request may run; the same for equal views. */
function chooseSuspectVm(
  state: SteeringState,
  metadata: RequestMetadata,
): VmId | undefined {
  const {context} = state;
  const configuration = context.configuration();
  const view = context.view();
  const vms = [...(configuration?.entryVms.keys() ?? [])];
  for (const vm of rankByRendezvous(metadata.fingerprint, vms)) {
    const live = !view || view.vms.get(vm)?.state === 'live';
    if (live || vm === context.vm) {
      return vm;
    }
  }
  return undefined;
}

function isAlreadyRunning(
  state: SteeringState,
  metadata: RequestMetadata,
): boolean {
  for (const other of state.requests.values()) {
    const same =
      other.metadata.fingerprint === metadata.fingerprint &&
      other.metadata.id !== metadata.id;
    if (same && (other.attempts.size > 0 || other.queued)) {
      return true;
    }
  }
  return false;
}
