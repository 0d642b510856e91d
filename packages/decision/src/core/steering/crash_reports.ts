/** Records targets lost during a request and reports them to the other VMs. */
import type {TargetId} from '../model/index.js';
import {listPeers} from './peer_groups.js';
import type {RequestState} from './requests.js';
import type {SteeringState} from './state.js';

/**
 * Records that a target broke the connection during an attempt.
 *
 * @returns Whether the request was suspect before and is therefore a likelier
 *     cause than the target.
 */
export function recordSuspectedCrash(
  state: SteeringState,
  request: RequestState,
  target: TargetId,
): boolean {
  const {context, crashSuspicions} = state;
  const {fingerprint} = request.metadata;
  const {nowMs} = context.time();
  const before = crashSuspicions.stateOf(fingerprint, nowMs);
  if (!crashSuspicions.recordLoss(fingerprint, target, nowMs)) {
    return before !== 'clear';
  }
  const targets = crashSuspicions.lostTargets(fingerprint);
  for (const peer of listPeers(context)) {
    context.send(peer, {
      kind: 'crash-suspected',
      fingerprint,
      // The message schema allows at most 8 targets.
      targets: targets.slice(0, 8),
      ageMs: 0,
    });
  }
  const after = crashSuspicions.stateOf(fingerprint, nowMs);
  if (after === 'quarantined' && before !== 'quarantined') {
    context.note({
      kind: 'request-quarantined',
      fingerprint,
      targetsLost: targets.length,
    });
  }
  return before !== 'clear';
}

/** Merges a report of lost targets from another VM. */
export function handleCrashReport(
  state: SteeringState,
  fingerprint: string,
  targets: readonly TargetId[],
  ageMs: number,
): void {
  const {context, crashSuspicions} = state;
  const {nowMs} = context.time();
  const before = crashSuspicions.stateOf(fingerprint, nowMs);
  for (const target of targets) {
    crashSuspicions.recordLoss(fingerprint, target, nowMs - ageMs);
  }
  const after = crashSuspicions.stateOf(fingerprint, nowMs);
  if (after === 'quarantined' && before !== 'quarantined') {
    context.note({
      kind: 'request-quarantined',
      fingerprint,
      targetsLost: crashSuspicions.lostTargets(fingerprint).length,
    });
  }
}

/** Lifts a quarantine on behalf of an operator and notifies all VMs. */
export function liftQuarantine(
  state: SteeringState,
  fingerprint: string,
): void {
  const {context} = state;
  state.crashSuspicions.lift(fingerprint);
  context.note({kind: 'quarantine-ended', fingerprint});
  for (const peer of listPeers(context)) {
    context.send(peer, {kind: 'quarantine-lifted', fingerprint});
  }
}
