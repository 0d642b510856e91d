/**
 * What differs between platforms, as the gateway sees it: names of headers
 * and kinds of objects, and readers of what others write. An adapter provides
 * one; it translates and decides nothing.
 */
import type {
  LoadReport,
  RoutingConfiguration,
  TargetEntry,
} from '@ibisbeam/decision';
import type {Either} from 'purify-ts';

/** Header names, in lower case. */
export interface ProtocolHeaders {
  /** Identifies one attempt of a client; targets echo it. */
  readonly attemptId: string;
  /** Milliseconds that the sender will still wait. */
  readonly deadlineMs: string;
  readonly affinityKey: string;
  /** Identifier of the only target that may run the request. */
  readonly expectedTarget: string;
  /** Present on answers that a target made. */
  readonly responseSeal: string;
  /** Present when a target has not run the request. */
  readonly notExecuted: string;
  readonly load: string;
}

/** Kinds of objects in the platform's store. */
export interface ProtocolKinds {
  readonly targets: string;
  readonly configuration: string;
  readonly evacuations: string;
  readonly entryVms: string;
}

export interface DirectoryQuery {
  readonly region?: string;
  readonly zone?: string;
}

export interface GatewayProtocol {
  readonly headers: ProtocolHeaders;
  readonly kinds: ProtocolKinds;
  /** Name of the object that holds the newest configuration. */
  readonly configurationName: string;
  readonly readinessPath: string;
  readonly directoryPath: string;
  /** Left: why the object names no target. */
  readTarget(name: string, value: unknown): Either<string, TargetEntry>;
  readConfiguration(value: unknown): Either<string, RoutingConfiguration>;
  readLoad(header: string): LoadReport | undefined;
  readDirectoryQuery(query: URLSearchParams): DirectoryQuery;
  writeDirectoryResponse(
    addresses: readonly string[],
    lifetimeSeconds: number,
  ): string;
}
