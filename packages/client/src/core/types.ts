/** Public types of the client. Times are in milliseconds. */
import type {EitherAsync} from 'purify-ts';

/** Clock and timers of the client; tests inject their own. */
export interface ClientTimers {
  /** Monotonic clock. */
  nowMs(): number;
  sleep(delayMs: number): Promise<void>;
}

export interface ClientOptions {
  readonly workspace: string;
  /**
   * Caller addresses of some entry VMs, such as `10.0.1.4:8080`, used for
   * look-ups until the first one succeeds and when known VMs do not respond.
   */
  readonly seeds: readonly string[];
  /** Returns a token with audience `ibisbeam-caller`; called per request. */
  readonly token: () => string | Promise<string>;
  /** IP address of the client that the program acts for, if not its own. */
  readonly clientAddress?: string;
  /** Called with each key before it is first sent, so that it can be stored. */
  readonly keepIdempotencyKey?: (key: string) => void | Promise<void>;
  readonly timers?: ClientTimers;
  readonly transport?: Transport;
  /** Uniform in [0, 1); used for the choice of entry VM and backoff jitter. */
  readonly random?: () => number;
  readonly uniqueId?: () => string;
}

export type Method =
  'GET' | 'HEAD' | 'OPTIONS' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';

export interface CallRequest {
  readonly service: string;
  readonly method: Method;
  /** Path relative to the service, with a leading slash and the query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** Time limit for the whole call, including resends. */
  readonly deadlineMs: number;
  /**
   * Identifies the operation of a POST, PUT, PATCH or DELETE. A later call that
   * resends it, such as after a restart, must use the same key; a new operation
   * must use another one. Generated if absent.
   */
  readonly idempotencyKey?: string;
  /** Whether an earlier call already sent this key. */
  readonly resend?: boolean;
  /**
   * Whether a ticket issued by an entry VM may identify the operation while no
   * claim can be made in the store. The record of the operation is then lost if
   * that VM stops.
   */
  readonly allowTicket?: boolean;
}

export interface CallAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly requestId: string;
  /** The key under which the operation ran, for non-idempotent requests. */
  readonly idempotencyKey?: string;
  /** Whether this is the recorded response of an earlier run. */
  readonly replayed: boolean;
  readonly attempts: number;
}

export type CallFailure =
  /** The operation did not run. A later call may send it again. */
  | {
      readonly kind: 'not-run';
      /** Last path segment of the problem type, such as `region-full`. */
      readonly reason: string;
      readonly status?: number;
      readonly detail?: string;
      readonly retryAfterMs?: number;
      readonly requestId: string;
      readonly attempts: number;
    }
  /**
   * The operation may have run. Do not send it with another key: ask the
   * service whether it ran, or resend it with the same key.
   */
  | {
      readonly kind: 'unknown';
      /** As for `not-run`; `no-whole-answer` without a complete response. */
      readonly reason: string;
      readonly idempotencyKey?: string;
      readonly requestId: string;
      readonly attempts: number;
    };

export interface EntryVmChoice {
  readonly id: string;
  /** Caller address, such as `10.0.1.4:8080`. */
  readonly address: string;
  /** Relative share of the requests; 0 or more. */
  readonly weight: number;
}

export interface IbisbeamClient {
  call(request: CallRequest): EitherAsync<CallFailure, CallAnswer>;
  /** Returns the entry VMs for a service, cached for the response's lifetime. */
  lookUp(service: string): Promise<readonly EntryVmChoice[]>;
}

/** A single HTTP request to one entry VM. */
export interface TransportRequest {
  readonly address: string;
  readonly method: Method;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  readonly timeoutMs: number;
}

export type TransportResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      /** Complete; a truncated body yields `broken` instead. */
      readonly body: Uint8Array;
    }
  /** No byte reached the entry VM. */
  | {readonly kind: 'not-sent'; readonly cause: string}
  /** Bytes may have been sent, but no complete response arrived. */
  | {readonly kind: 'broken'; readonly cause: string};

export type Transport = (request: TransportRequest) => Promise<TransportResult>;
