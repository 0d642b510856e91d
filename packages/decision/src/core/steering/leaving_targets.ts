/** Handles leaving targets and their return to service. */
import type {TargetId} from '../model/index.js';
import {findLivePeers} from './context.js';
import {type SteeringState, findTarget} from './state.js';
import type {TargetLeavingSource, TargetReport} from './types.js';

/** Excludes a target from selection at the first signal from any source. */
export function handleTargetLeaving(
  state: SteeringState,
  target: TargetId,
  source: TargetLeavingSource,
): void {
  const found = findTarget(state, target);
  if (!found) {
    return;
  }
  const {record} = found;
  if (record.leaving) {
    record.leaving = {source: record.leaving.source};
    return;
  }
  record.leaving = {source};
  const {context} = state;
  context.note({kind: 'target-left', target, source});
  if (source === 'peer') {
    return;
  }
  for (const peer of findLivePeers(context, context.region)) {
    context.send(peer, {kind: 'target-leaving', target});
  }
}

/** Handles a load and health report, which may be stale or wrong. */
export function handleTargetReport(
  state: SteeringState,
  report: TargetReport,
): void {
  if (report.leaving) {
    handleTargetLeaving(state, report.target, 'health-answer');
    return;
  }
  const found = findTarget(state, report.target);
  if (!found) {
    return;
  }
  const {record} = found;
  const {context} = state;
  const {nowMs} = context.time();
  record.report = {report, atMs: nowMs};
  const {leaving} = record;
  if (!leaving) {
    return;
  }
  if (!report.healthy) {
    record.leaving = {source: leaving.source};
    return;
  }
  const healthySinceMs = leaving.healthySinceMs ?? nowMs;
  if (nowMs - healthySinceMs < context.parameters.leavingHoldDownMs) {
    record.leaving = {source: leaving.source, healthySinceMs};
    return;
  }
  delete record.leaving;
  context.note({kind: 'target-restored', target: report.target});
}
