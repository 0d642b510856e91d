/**
 * The interface between the gateway and a platform adapter: header names,
 * object kinds, and parsers for data written by others. Adapters only
 * translate; decisions are made in the gateway.
 */
import type {
  LoadReport,
  RoutingConfiguration,
  TargetEntry,
} from '@ibisbeam/decision';
import type {Either} from 'purify-ts';

/** Header names, in lower case. */
export interface HeaderNames {
  /** Identifies one attempt of a client; targets echo it in responses. */
  readonly attemptId: string;
  /** Its value is a duration: milliseconds left until the sender gives up. */
  readonly deadlineMs: string;
  /** Requests with the same key run faster if the same target runs them. */
  readonly affinityKey: string;
  /** Identifier of the only target that may execute the request. */
  readonly expectedTarget: string;
  /** Marks a request that another VM relays; the address of its client. */
  readonly relayedFor: string;
  /** Present on responses produced by a target. */
  readonly responseSeal: string;
  /** Present when the target has not executed the request. */
  readonly notExecuted: string;
  /** Load report of a target. */
  readonly loadReport: string;
  /** Requests per second that a target in need takes from all VMs together. */
  readonly rateLimit: string;
  /** Present in all answers of a target that is leaving. */
  readonly leaving: string;
  /** On a refusal: how long the target wants no requests from the sender. */
  readonly retryAfter: string;
  /** Names the workspace of a caller; never forwarded. */
  readonly apiKey: string;
  /** Tells targets, and peers of a relayed request, the caller's workspace. */
  readonly workspace: string;
  /** Shows a VM that a request was relayed by a peer. */
  readonly relayToken: string;
}

/** Kinds of objects in the platform's store. */
export interface ObjectKinds {
  readonly targets: string;
  readonly configuration: string;
  /** One object per evacuated zone, named after the zone. */
  readonly evacuations: string;
  /** Registrations of entry VMs, written by the gateways. */
  readonly entryVms: string;
}

/** What a client states; absent parts are unknown. */
export interface DirectoryQuery {
  /** Host of the requests that the client is going to send. */
  readonly host?: string;
  readonly region?: string;
  readonly zone?: string;
}

export interface GatewayProtocol {
  readonly headers: HeaderNames;
  readonly kinds: ObjectKinds;
  /** Name of the object that holds the newest configuration. */
  readonly configurationName: string;
  readonly readinessPath: string;
  readonly directoryPath: string;
  /** Left: why the object is not a valid target entry. */
  readTarget(name: string, value: unknown): Either<string, TargetEntry>;
  /**
   * The part of an entry that `readTarget` reads, which VMs keep and tell each
   * other. Left: why the object is not a valid target entry.
   */
  trimTarget(name: string, value: unknown): Either<string, unknown>;
  /** Left: why the object is not a valid configuration. */
  readConfiguration(value: unknown): Either<string, RoutingConfiguration>;
  /** Returns undefined if the header value is malformed. */
  readLoadReport(header: string): LoadReport | undefined;
  /** Requests per second; undefined if the header value is malformed. */
  readRateLimit(header: string): number | undefined;
  /** Whether the header value says that the target is leaving. */
  readLeaving(header: string): boolean;
  /**
   * Milliseconds; undefined if the header value is malformed or not in the
   * future.
   *
   * @param nowWallMs For a header value that is a date.
   */
  readRetryAfter(header: string, nowWallMs: number): number | undefined;
  readDirectoryQuery(query: URLSearchParams): DirectoryQuery;
  /** Returns the response body in JSON. */
  writeDirectoryResponse(
    addresses: readonly string[],
    lifetimeSeconds: number,
  ): string;
}
