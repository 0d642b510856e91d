/** Events and actions of the claims state machine. */
import type {
  Incarnation,
  MembershipView,
  RandomSource,
  VmId,
} from '../model/index.js';
import type {StepTime} from '../steering/types.js';
import type {ClaimPeerMessage} from './peer_messages.js';
import type {ClaimRecord} from './claim_record.js';
import type {ClaimDecision, ClaimEnd, ClaimRequest} from './types.js';

export interface ClaimsOptions {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /** Counts the starts of this state machine in the incarnation, from 1. */
  readonly epoch: number;
  readonly random: RandomSource;
  /** Longest recorded response body, in characters of base64. */
  readonly maximumRecordedBytes: number;
  /** Rate of deferred writes of the whole fleet, per second. */
  readonly deferredWritesPerSecond: number;
}

export type {StepTime} from '../steering/types.js';

/** Result of a store call. `value` is not validated. */
export type ClaimStoreResult =
  | {readonly kind: 'written'; readonly version: number}
  | {
      readonly kind: 'found';
      readonly version: number;
      readonly value: unknown;
    }
  | {
      readonly kind: 'conflict';
      readonly current?: {readonly version: number; readonly value: unknown};
    }
  | {readonly kind: 'not-found'}
  /** The call was not answered: a write may have taken effect or still may. */
  | {readonly kind: 'lost-answer'}
  /** The call certainly had no effect. */
  | {readonly kind: 'unavailable'; readonly retryAfterMs?: number};

export type ClaimStoreCall =
  | {
      readonly kind: 'create';
      readonly key: string;
      readonly record: ClaimRecord;
    }
  | {readonly kind: 'read'; readonly key: string}
  | {
      readonly kind: 'update';
      readonly key: string;
      /** Version that the stored claim must still have. */
      readonly expected: number;
      readonly record: ClaimRecord;
    };

export type ClaimsEvent =
  | {
      readonly kind: 'begin';
      /** Returned in the `decide` action for this request. */
      readonly correlationId: number;
      readonly request: ClaimRequest;
    }
  | {
      readonly kind: 'end';
      readonly correlationId: number;
      /** Token of the `run` decision. */
      readonly token: string;
      readonly end: ClaimEnd;
    }
  | {
      readonly kind: 'store-answered';
      readonly call: number;
      readonly result: ClaimStoreResult;
    }
  | {
      readonly kind: 'peer-message';
      readonly from: VmId;
      readonly message: ClaimPeerMessage;
    }
  | {readonly kind: 'membership-changed'; readonly view: MembershipView}
  | {readonly kind: 'tick'};

export type ClaimsAction =
  | {
      readonly kind: 'decide';
      readonly correlationId: number;
      readonly decision: ClaimDecision;
    }
  | {
      readonly kind: 'ended';
      readonly correlationId: number;
      /** Whether the end is recorded; if false, it may be recorded later. */
      readonly recorded: boolean;
    }
  | {
      readonly kind: 'call-store';
      readonly call: number;
      readonly operation: ClaimStoreCall;
    }
  | {
      readonly kind: 'send';
      readonly to: VmId;
      readonly message: ClaimPeerMessage;
    }
  | {
      readonly kind: 'note';
      /** The end of a claim is not recorded yet (delayed) or at all (lost). */
      readonly note: 'record-delayed' | 'record-lost';
    };

export interface ClaimsStatus {
  /** Claims that this VM holds and has not ended. */
  readonly held: number;
  readonly deferredWrites: number;
  readonly tickets: number;
  readonly storeAvailable: boolean;
}

export interface Claims {
  /** Handles an event and returns the actions to perform, in order. */
  step(event: ClaimsEvent, time: StepTime): readonly ClaimsAction[];
  /** Mints an idempotency key whose claim only this incarnation grants. */
  mintTicket(time: StepTime): string;
  status(): ClaimsStatus;
}
