/** Route look-up and weighted traffic splits. */
import {commonHomeRegions} from './home_regions.js';
import type {Route, RoutingConfiguration} from './types.js';

export interface RouteTable {
  readonly configuration: RoutingConfiguration;
  /** Longest-prefix match of the path among the routes of the host. */
  find(host: string, path: string): Route | undefined;
  /** Regions that are home to every route of the host; empty if there are none. */
  homeRegionsOf(host: string): readonly string[];
  /**
   * Next service of the traffic split, by smooth weighted round robin.
   *
   * @returns Undefined when no service has a positive weight.
   */
  nextService(route: Route): string | undefined;
}

export function createRouteTable(
  configuration: RoutingConfiguration,
): RouteTable {
  const byHost = new Map<string, Map<string, Route>>();
  for (const route of configuration.routes) {
    const host = normalizeHost(route.host);
    const byPrefix = byHost.get(host) ?? new Map<string, Route>();
    byPrefix.set(route.pathPrefix, route);
    byHost.set(host, byPrefix);
  }
  const currentWeightsByRoute = new Map<string, number[]>();

  function find(host: string, path: string): Route | undefined {
    const byPrefix = byHost.get(normalizeHost(host));
    if (!byPrefix) {
      return undefined;
    }
    const queryStart = path.indexOf('?');
    const pathEnd = queryStart < 0 ? path.length : queryStart;
    let slash = path.lastIndexOf('/', pathEnd - 1);
    while (slash >= 0) {
      const route = byPrefix.get(path.slice(0, slash + 1));
      if (route) {
        return route;
      }
      slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }

  function homeRegionsOf(host: string): readonly string[] {
    let homes: readonly string[] = [];
    for (const route of byHost.get(normalizeHost(host))?.values() ?? []) {
      const common = commonHomeRegions(homes, route.homeRegions);
      if (!common) {
        return [];
      }
      homes = common;
    }
    return homes;
  }

  function nextService(route: Route): string | undefined {
    const [only] = route.trafficSplit;
    if (route.trafficSplit.length <= 1) {
      return only?.service;
    }
    const currentWeights =
      currentWeightsByRoute.get(route.name) ?? route.trafficSplit.map(() => 0);
    currentWeightsByRoute.set(route.name, currentWeights);
    let total = 0;
    let best = -1;
    for (const [index, part] of route.trafficSplit.entries()) {
      total += part.weight;
      currentWeights[index] = (currentWeights[index] ?? 0) + part.weight;
      if (
        part.weight > 0 &&
        (best < 0 || (currentWeights[index] ?? 0) > (currentWeights[best] ?? 0))
      ) {
        best = index;
      }
    }
    if (best < 0) {
      return undefined;
    }
    currentWeights[best] = (currentWeights[best] ?? 0) - total;
    return route.trafficSplit[best]?.service;
  }

  return {configuration, find, homeRegionsOf, nextService};
}

/** Lower-case host without the port. */
function normalizeHost(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
