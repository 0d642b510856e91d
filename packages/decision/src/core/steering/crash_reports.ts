/** Notices lost targets and tells the other VMs which request was there. */
import type {TargetId} from '../model/index.js';
import {allPeers} from './peer_groups.js';
import type {RequestState} from './requests.js';
import type {SteeringState} from './state.js';

/**
 * Records that an attempt broke off at a target.
 *
 * @returns Whether the request, not the target, is the likelier cause.
 */
export function recordSuspectedCrash(
  state: SteeringState,
  request: RequestState,
  target: TargetId,
): boolean {
  const {context, suspicions} = state;
  const {fingerprint} = request.facts;
  const {nowMs} = context.time();
  const before = suspicions.state(fingerprint, nowMs);
  if (!suspicions.targetLost(fingerprint, target, nowMs)) {
    return before !== 'clear';
  }
  const targets = suspicions.targetsLost(fingerprint);
  for (const peer of allPeers(context)) {
    context.send(peer, {
      kind: 'crash-suspected',
      fingerprint,
      targets: targets.slice(0, 8),
      ageMs: 0,
    });
  }
  const after = suspicions.state(fingerprint, nowMs);
  if (after === 'quarantined' && before !== 'quarantined') {
    context.note({
      kind: 'request-quarantined',
      fingerprint,
      targetsLost: targets.length,
    });
  }
  return before !== 'clear';
}

/** Another VM saw targets die under a request. */
export function handleCrashReport(
  state: SteeringState,
  fingerprint: string,
  targets: readonly TargetId[],
  ageMs: number,
): void {
  const {context, suspicions} = state;
  const {nowMs} = context.time();
  const before = suspicions.state(fingerprint, nowMs);
  for (const target of targets) {
    suspicions.targetLost(fingerprint, target, nowMs - ageMs);
  }
  const after = suspicions.state(fingerprint, nowMs);
  if (after === 'quarantined' && before !== 'quarantined') {
    context.note({
      kind: 'request-quarantined',
      fingerprint,
      targetsLost: suspicions.targetsLost(fingerprint).length,
    });
  }
}

/** An operator lets the request run again; all VMs are told. */
export function liftQuarantine(
  state: SteeringState,
  fingerprint: string,
): void {
  const {context} = state;
  state.suspicions.lift(fingerprint);
  context.note({kind: 'quarantine-ended', fingerprint});
  for (const peer of allPeers(context)) {
    context.send(peer, {kind: 'quarantine-lifted', fingerprint});
  }
}
