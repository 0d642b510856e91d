/** Settings of one gateway process, as an adapter hands them over. */

export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Promises of the deployment, in milliseconds and plain ratios. */
export interface GatewayBounds {
  /** From the store's acknowledgement that a target leaves to its last request. */
  readonly drainMs: number;
  readonly configurationApplyMs: number;
  /** From SIGTERM to the end of the process. */
  readonly stopGraceMs: number;
  /** Repeated attempts allowed for each request of a service. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Repeated attempts allowed to the whole fleet besides. */
  readonly retrySlack: number;
  /** Longest time that clients may keep a directory answer. */
  readonly directoryLifetimeMs: number;
  /** Share of a region's requests that may change region in 2 s. */
  readonly regionShift: number;
}

export interface GatewaySettings {
  readonly vm: {
    readonly id: string;
    readonly host: string;
    readonly zone: string;
    readonly region: string;
  };
  readonly listen: {
    readonly caller: HostAndPort;
    readonly readiness: HostAndPort;
    readonly directory: HostAndPort;
    /** For other gateways; the port is the same at all of them. */
    readonly peers: HostAndPort;
    readonly metrics: HostAndPort;
  };
  /** Hosts at which other gateways may be found; some may be stale. */
  readonly seeds: readonly string[];
  readonly zoneRegions: ReadonlyMap<string, string>;
  /** Interval at which targets renew their entries. */
  readonly targetHeartbeatMs: number;
  readonly bounds: GatewayBounds;
}
