/** Routes, services and limits as an entry VM uses them, in plain values. */

/**
 * `idempotent` and `download` requests may run more than once;
 * `non-idempotent` ones at most once for each client attempt.
 */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'download';

/** One service of a route and its part of the requests. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the sum of the route's weights; not negative. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time until the final answer. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most. */
  readonly latencyObjectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Targets that may get one client attempt. */
  readonly maximumAttempts: number;
  /** Targets answer faster for an affinity key that they handled lately. */
  readonly sticky: boolean;
  readonly trafficSplit: readonly WeightedService[];
  /** Regions that may run and hold the requests; empty for all. */
  readonly homeRegions: readonly string[];
}

export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one target takes from all callers. */
  readonly maximumConnections: number;
  /** How long a target stays cold after its start. */
  readonly coldStartMs: number;
  /** Requests that a cold target stands, from the whole fleet. */
  readonly coldRequestsPerSecond: number;
}

/** What a client may send and how long it may take. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface RoutingConfiguration {
  /** Grows with each accepted configuration, in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: ClientLimits;
}
