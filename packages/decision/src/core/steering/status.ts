/** Builds the status of steering. */
import type {TargetId} from '../model/index.js';
import {isEjected} from '../routing/index.js';
import {computeFailoverFraction} from '../shifts/index.js';
import {countUsableSlots} from './pool.js';
import type {SteeringState} from './state.js';
import type {SteeringStatus} from './types.js';

export function buildStatus(state: SteeringState): SteeringStatus {
  const {context} = state;
  const {nowMs} = context.time();
  const leavingTargets: TargetId[] = [];
  const ejectedTargets: TargetId[] = [];
  for (const pool of state.pools.values()) {
    for (const record of pool.records.values()) {
      if (record.leaving) {
        leavingTargets.push(record.target.id);
      }
      if (isEjected(record, nowMs)) {
        ejectedTargets.push(record.target.id);
      }
    }
  }
  return {
    pools: [...state.pools.values()].map(pool => ({
      service: pool.service,
      region: context.region,
      usableSlots: countUsableSlots(pool, context),
      ownedSlots: pool.slotLedger.ownedSlots(),
      inFlight: pool.slotLedger.slotsInUse(),
      queued: pool.queue.size(),
      inFlightByWorkspace: new Map(pool.inFlightByWorkspace),
    })),
    quarantines: state.crashSuspicions.quarantined(nowMs).map(fingerprint => ({
      fingerprint,
      targetsLost: state.crashSuspicions.lostTargets(fingerprint).length,
      untilMs: state.crashSuspicions.suspectedUntilMs(fingerprint),
    })),
    failovers: failoverStatuses(state),
    leavingTargets,
    ejectedTargets,
  };
}

/** Reports the fraction of the workspace with the fastest ramp. */
function failoverStatuses(state: SteeringState): SteeringStatus['failovers'] {
  const {context} = state;
  const {wallMs} = context.time();
  return state.failovers.all().map(failover => {
    let fraction = 0;
    for (const services of context.configuration()?.workspaces.values() ?? []) {
      for (const {policy} of services.values()) {
        const {capUtilization} = context.parameters;
        const part = computeFailoverFraction(
          failover,
          policy.shift,
          capUtilization,
          wallMs,
        );
        fraction = Math.max(fraction, part);
      }
    }
    return {
      from: failover.from,
      startedAtWallMs: failover.startedAtWallMs,
      fraction,
    };
  });
}
