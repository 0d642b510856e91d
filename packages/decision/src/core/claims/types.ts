/**
 * Interface between request forwarding and the claims that give at-most-once
 * execution.
 *
 * A claim is identified by workspace, service and idempotency key. It is made
 * before the first byte of the operation is sent to a target.
 */
import type {
  Incarnation,
  Outcome,
  RequestId,
  ServiceName,
  VmId,
  WorkspaceName,
} from '../model/index.js';

export interface ClaimKey {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly idempotencyKey: string;
}

/** A recorded answer that is replayed to resends of the request. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64 of the body; absent when it was too long to record. */
  readonly bodyBase64?: string;
}

/** How the operation under a claim ended. */
export type ClaimEnd =
  | {readonly kind: 'answered'; readonly answer: RecordedAnswer}
  /** The operation provably did not run; the key may be claimed again. */
  | {readonly kind: 'not-run'}
  | {readonly kind: 'unknown'};

export type ClaimDecision =
  /**
   * The claim is granted. The VM that asked for it sends the request once and
   * then reports the end of the claim with `token`.
   */
  | {readonly kind: 'run'; readonly token: string}
  | {readonly kind: 'replay'; readonly answer: RecordedAnswer}
  /** Another request holds the claim; its operation may still be running. */
  | {readonly kind: 'in-progress'; readonly retryAfterMs: number}
  | {readonly kind: 'outcome-unknown'}
  | {readonly kind: 'key-reused'}
  /**
   * The request did not run because no claim could be made. `outcome` tells
   * whether an earlier request with the same key may have run.
   */
  | {
      readonly kind: 'unavailable';
      readonly retryAfterMs: number;
      readonly outcome: Outcome;
    };

export interface ClaimRequest {
  readonly key: ClaimKey;
  readonly request: RequestId;
  /** Hash of method, path and body; detects reuse of a key. */
  readonly fingerprint: string;
  /** Time until the deadline of the request. */
  readonly remainingMs: number;
  /**
   * The caller states that it has not sent this key before. Only then does a
   * claim that could not be made prove that no operation ran under the key.
   */
  readonly firstAttempt?: boolean;
}

export interface ClaimHolder {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
}
