/**
 * Requests that are suspected of crashing targets. A suspect runs at one VM
 * of the fleet only, and there one attempt at a time; while regions are cut
 * from each other it does not run at all.
 */
import {rankByRendezvous} from '../hashing/index.js';
import type {RequestFacts, VmId} from '../model/index.js';
import type {Placement} from './placement.js';
import type {SteeringState} from './state.js';

const RETRY_SUSPECT_MS = 250;

/** Where a suspect goes; undefined if the request is not suspected. */
export function placeSuspect(
  state: SteeringState,
  facts: RequestFacts,
): Placement | undefined {
  const {context, suspicions} = state;
  const {nowMs} = context.time();
  const suspicion = suspicions.state(facts.fingerprint, nowMs);
  if (suspicion === 'clear') {
    return undefined;
  }
  if (suspicion === 'quarantined') {
    const retryAfterMs =
      suspicions.quarantinedUntilMs(facts.fingerprint) - nowMs;
    return {kind: 'refused', reason: 'request-quarantined', retryAfterMs};
  }
  const tester = mayTest(state) ? testerOf(state, facts) : undefined;
  if (tester === context.vm && !runsAlready(state, facts)) {
    return {kind: 'region', region: context.region, foreign: false};
  }
  const vm = context.configuration()?.entryVms.get(tester ?? context.vm);
  if (!vm || vm.id === context.vm || facts.relayedFrom) {
    return {
      kind: 'refused',
      reason: 'request-quarantined',
      retryAfterMs: RETRY_SUSPECT_MS,
    };
  }
  return {kind: 'vm', vm: vm.id, region: vm.region};
}

/** Suspects wait while this VM cannot know what the others have lost. */
function mayTest(state: SteeringState): boolean {
  const view = state.context.view();
  return !view || (view.silentRegions.size === 0 && !view.selfDoubt);
}

/** The VM at which a suspect may run, equal on VMs with equal views. */
function testerOf(state: SteeringState, facts: RequestFacts): VmId | undefined {
  const {context} = state;
  const configuration = context.configuration();
  const view = context.view();
  const vms = [...(configuration?.entryVms.keys() ?? [])];
  for (const vm of rankByRendezvous(facts.fingerprint, vms)) {
    const live = !view || view.vms.get(vm)?.state === 'live';
    if (live || vm === context.vm) {
      return vm;
    }
  }
  return undefined;
}

function runsAlready(state: SteeringState, facts: RequestFacts): boolean {
  for (const other of state.requests.values()) {
    const same =
      other.facts.fingerprint === facts.fingerprint &&
      other.facts.id !== facts.id;
    if (same && (other.attempts.size > 0 || other.queued)) {
      return true;
    }
  }
  return false;
}
