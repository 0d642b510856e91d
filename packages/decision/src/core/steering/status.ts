/** Figures for status pages, metrics, heartbeats and look-up weights. */
import type {TargetId} from '../model/index.js';
import {isEjected} from '../routing/index.js';
import {failoverFraction} from '../shifts/index.js';
import {workingSlots} from './pool.js';
import type {SteeringState} from './state.js';
import type {SteeringStatus} from './types.js';

export function statusOf(state: SteeringState): SteeringStatus {
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
      usableSlots: workingSlots(pool, context),
      ownedSlots: pool.holdings.owned(),
      inFlight: pool.holdings.inUse(),
      queued: pool.queue.size(),
      inFlightByWorkspace: new Map(pool.inFlightByWorkspace),
    })),
    quarantines: state.suspicions.quarantined(nowMs).map(fingerprint => ({
      fingerprint,
      targetsLost: state.suspicions.targetsLost(fingerprint).length,
      untilMs: state.suspicions.quarantinedUntilMs(fingerprint),
    })),
    failovers: failoversOf(state),
    leavingTargets,
    ejectedTargets,
  };
}

/** With the fastest ramp of any workspace. */
function failoversOf(state: SteeringState): SteeringStatus['failovers'] {
  const {context} = state;
  const {wallMs} = context.time();
  return state.failovers.all().map(failover => {
    let fraction = 0;
    for (const services of context.configuration()?.workspaces.values() ?? []) {
      for (const {policy} of services.values()) {
        const {capUse} = context.parameters;
        const part = failoverFraction(failover, policy.shift, capUse, wallMs);
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
