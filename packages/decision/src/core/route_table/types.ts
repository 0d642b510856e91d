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
  /** Whether requests need the API key of a workspace, if there are any. */
  readonly needsApiKey: boolean;
}

/** Requests that all VMs together may pass on for a workspace. */
export interface RequestQuota {
  readonly perSecond: number;
  /** Requests on top of the rate, after a time with fewer. */
  readonly burst: number;
}

/** A group of callers with API keys, a quota and homes of its own. */
export interface Workspace {
  readonly name: string;
  /** Each of them names the workspace; none means that nobody may call. */
  readonly apiKeys: readonly string[];
  /** Goes before the priority of routes; absent to use theirs. */
  readonly priority?: number;
  /** Absent for no limit. */
  readonly quota?: RequestQuota;
  /** Bind besides those of the route; empty for all regions. */
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
  /** Absent if callers need no API keys. */
  readonly workspaces?: readonly Workspace[];
}
