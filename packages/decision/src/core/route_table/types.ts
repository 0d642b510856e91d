/** Validated routes, services and limits of an entry VM. */

/**
 * `idempotent` and `download` requests may be executed more than once,
 * `non-idempotent` ones at most once per client attempt.
 */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'download';

/** A service of a route and its share of the requests. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the sum of the route's weights; 0 or more. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time until the final response. */
  readonly timeoutMs: number;
  /** Time within which responses should arrive. */
  readonly latencyObjectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of targets that one client attempt is sent to. */
  readonly maximumAttempts: number;
  /**
   * Whether to prefer the target that recently served the request's affinity
   * key, because it responds faster for that key.
   */
  readonly sticky: boolean;
  readonly trafficSplit: readonly WeightedService[];
  /** Regions that may process and store the requests; empty for all. */
  readonly homeRegions: readonly string[];
}

export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one target accepts from all its clients together. */
  readonly maximumConnections: number;
  /** Time for which a target counts as cold after its start. */
  readonly coldStartMs: number;
  /** Request rate that a cold target can take, from all VMs together. */
  readonly coldRequestsPerSecond: number;
}

/** Size and time limits on client requests. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface RoutingConfiguration {
  /** Increases with each accepted configuration, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: ClientLimits;
}
