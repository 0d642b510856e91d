/** Latency objectives of services, from the routes that lead to them. */
import type {RoutingConfiguration} from './types.js';

/**
 * Returns all services with the shortest objective of their routes, or undefined
 * for a service that no route leads to.
 */
export function objectivesByService(
  configuration: RoutingConfiguration,
): ReadonlyMap<string, number | undefined> {
  const objectives = new Map<string, number | undefined>();
  for (const service of configuration.services.keys()) {
    objectives.set(service, undefined);
  }
  for (const {trafficSplit, latencyObjectiveMs} of configuration.routes) {
    for (const {service} of trafficSplit) {
      const known = objectives.get(service) ?? Infinity;
      objectives.set(service, Math.min(known, latencyObjectiveMs));
    }
  }
  return objectives;
}
