/** Settings of one gateway process, provided by the platform adapter. */
import type {QuotaTolerance} from '@ibisbeam/decision';

export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Service-level limits that the deployment guarantees. */
export interface GatewayBounds {
  /**
   * Longest time from the store's acknowledgement that a target is draining
   * to the last request sent to it.
   */
  readonly drainMs: number;
  /** Longest time until a stored configuration is in force. */
  readonly configurationApplyMs: number;
  /** Longest time from SIGTERM to the exit of the process. */
  readonly stopGraceMs: number;
  /** Retries allowed in a window, as a fraction of the service's requests. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries allowed to the whole fleet in a window on top of the ratio. */
  readonly retrySlack: number;
  /** Longest time that clients may cache a directory response. */
  readonly directoryLifetimeMs: number;
  /** Largest fraction of a region's requests to move elsewhere within 2 s. */
  readonly regionShift: number;
  /** How far all VMs together may exceed the quota of a workspace. */
  readonly quotaTolerance: QuotaTolerance;
  /**
   * A VM whose list of API keys may be older than this refuses requests that
   * need one; absent if it goes on with the keys that it knows.
   */
  readonly revocationMs?: number;
}

export interface GatewaySettings {
  readonly vm: {
    readonly id: string;
    readonly host: string;
    readonly zone: string;
    readonly region: string;
  };
  readonly listen: {
    /** Requests of clients. */
    readonly caller: HostAndPort;
    readonly readiness: HostAndPort;
    readonly directory: HostAndPort;
    /** Links between gateways; all gateways use the same port. */
    readonly peers: HostAndPort;
    readonly metrics: HostAndPort;
  };
  /** Hosts of other gateways to dial first; some may be stale. */
  readonly seeds: readonly string[];
  /** Region of each zone. */
  readonly zoneRegions: ReadonlyMap<string, string>;
  /** Interval at which targets renew their entries. */
  readonly targetHeartbeatMs: number;
  readonly bounds: GatewayBounds;
  /** Memory that the process may use. */
  readonly memoryBytes: number;
}
