/**
 * At most once: what the forwarding path asks of the claims part.
 *
 * A claim is keyed by workspace, service and idempotency key. It is fenced
 * outside the VM before the first byte of the operation is sent.
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

/** An answer small enough to be given again to a resend. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64 of the body; absent when it was too long to record. */
  readonly bodyBase64?: string;
}

/** How the operation under a claim ended. */
export type ClaimEnd =
  | {readonly kind: 'answered'; readonly answer: RecordedAnswer}
  /** Provably not run; the same key may be claimed again. */
  | {readonly kind: 'not-run'}
  | {readonly kind: 'unknown'};

export type ClaimDecision =
  /** The claim is ours: send once, then end it. */
  | {readonly kind: 'run'; readonly token: string}
  | {readonly kind: 'replay'; readonly answer: RecordedAnswer}
  /** Claimed and not ended: running elsewhere now, or its VM is gone. */
  | {readonly kind: 'in-progress'; readonly retryAfterMs: number}
  | {readonly kind: 'outcome-unknown'}
  | {readonly kind: 'key-reused'}
  /**
   * This request was not run, because no claim could be made. `outcome` tells
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
  /** Hash of method, path and body, to refuse a key reused for another. */
  readonly fingerprint: string;
  /** Remaining time of the request, milliseconds. */
  readonly deadlineMs: number;
  /**
   * The caller states that it never sent this key before. Only then does a
   * claim that could not be made mean that nothing ran under the key.
   */
  readonly firstAttempt?: boolean;
}

export interface ClaimHolder {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
}
