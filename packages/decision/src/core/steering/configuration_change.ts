/** Applies a new configuration to pools, links and planned moves. */
import type {Configuration} from '../model/index.js';
import {configurePool, createPool} from './pool.js';
import {refuseRequest} from './refusals.js';
import type {SteeringState} from './state.js';

const RETRY_AFTER_REMOVAL_MS = 1_000;

/** @returns Whether the slot division of any existing pool has changed. */
export function applyConfiguration(
  state: SteeringState,
  configuration: Configuration,
): boolean {
  let divisionChanged = false;
  const {context} = state;
  state.plannedMoves.clear();
  state.retryBudgets.clear();
  state.links.configure(configuration);
  for (const service of configuration.services.keys()) {
    const pool =
      state.pools.get(service) ?? createPool(service, configuration, context);
    state.pools.set(service, pool);
    if (configurePool(pool, configuration, context)) {
      divisionChanged = true;
    }
  }
  for (const [service, pool] of state.pools) {
    if (configuration.services.has(service)) {
      continue;
    }
    for (const entry of [...pool.queue.entries()]) {
      const request = state.requests.get(entry.request);
      if (request) {
        refuseRequest(
          state,
          request,
          'unknown-service',
          RETRY_AFTER_REMOVAL_MS,
        );
      }
    }
    state.pools.delete(service);
  }
  return divisionChanged;
}
