/** What a calling team's program sees of the client. Times in milliseconds. */
import type {EitherAsync} from 'purify-ts';

/** The clock and timers that the client uses; tests give their own. */
export interface ClientTimers {
  /** Never goes back. */
  nowMs(): number;
  sleep(delayMs: number): Promise<void>;
}

export interface ClientOptions {
  readonly workspace: string;
  /** Caller ports of some entry VMs, such as `10.0.1.4:8080`; for look-ups. */
  readonly seeds: readonly string[];
  /** Gives a token of audience `ibisbeam-caller`; called for each attempt. */
  readonly token: () => string | Promise<string>;
  /** IP number on whose behalf the program asks, if it is not its own. */
  readonly clientAddress?: string;
  /** Called with each key before it is first sent, so that it can be kept. */
  readonly keepIdempotencyKey?: (key: string) => void | Promise<void>;
  readonly timers?: ClientTimers;
  readonly transport?: Transport;
  /** Uniform in [0, 1); spreads callers over entry VMs and resends in time. */
  readonly random?: () => number;
  readonly uniqueId?: () => string;
}

export type Method =
  'GET' | 'HEAD' | 'OPTIONS' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';

export interface CallRequest {
  readonly service: string;
  readonly method: Method;
  /** Path below the service, with a leading slash and the query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** The whole call, resends included, ends by then. */
  readonly deadlineMs: number;
  /**
   * Names the operation of a POST, PUT, PATCH or DELETE. A resend by a later
   * call, such as after a restart, must give the same key; a new operation
   * must give another one. Made up when absent.
   */
  readonly idempotencyKey?: string;
  /** Whether an earlier call already sent this key. */
  readonly resend?: boolean;
  /**
   * Whether a ticket of an entry VM may name the operation while no claim can
   * be made in the store. The operation then lives and dies with that VM.
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
  /** The recorded answer of an earlier run of the same operation. */
  readonly replayed: boolean;
  readonly attempts: number;
}

export type CallFailure =
  /** The operation did not run. A later call may send it again. */
  | {
      readonly kind: 'not-run';
      /** Last part of the problem type, such as `region-full`. */
      readonly reason: string;
      readonly status?: number;
      readonly detail?: string;
      readonly retryAfterMs?: number;
      readonly requestId: string;
      readonly attempts: number;
    }
  /**
   * The operation may have run. Never send it under another key: ask the
   * service whether it ran, or send again with the same key.
   */
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      readonly idempotencyKey?: string;
      readonly requestId: string;
      readonly attempts: number;
    };

export interface EntryVmChoice {
  readonly id: string;
  readonly address: string;
  readonly weight: number;
}

export interface IbisbeamClient {
  call(request: CallRequest): EitherAsync<CallFailure, CallAnswer>;
  /** The entry VMs for a service, from the cache while it is valid. */
  lookUp(service: string): Promise<readonly EntryVmChoice[]>;
}

/** One exchange with one entry VM. */
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
      /** Whole; a body that is cut short is `broken`. */
      readonly body: Uint8Array;
    }
  /** No byte reached the entry VM. */
  | {readonly kind: 'not-sent'; readonly cause: string}
  /** Bytes were sent and no whole answer came. */
  | {readonly kind: 'broken'; readonly cause: string};

export type Transport = (request: TransportRequest) => Promise<TransportResult>;
