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
  /** Counts the lives of this part within the incarnation; from 1. */
  readonly epoch: number;
  readonly random: RandomSource;
  /** Longest body of an answer that is kept, in characters of base64. */
  readonly maximumRecordedBytes: number;
  /** Writes a second of the whole fleet that late records may take. */
  readonly deferredWritesPerSecond: number;
}

export type {StepTime} from '../steering/types.js';

/** What the store answered; `value` is undecoded. */
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
  /** The write may or may not have taken effect, now or later. */
  | {readonly kind: 'lost-answer'}
  /** The call took no effect. */
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
      readonly expected: number;
      readonly record: ClaimRecord;
    };

export type ClaimsEvent =
  | {
      readonly kind: 'begin';
      /** Names the question, for the decision. */
      readonly correlationId: number;
      readonly request: ClaimRequest;
    }
  | {
      readonly kind: 'end';
      readonly correlationId: number;
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
      /** An end that could not be recorded, now or at all. */
      readonly note: 'record-delayed' | 'record-lost';
    };

export interface ClaimsStatus {
  /** Claims held by this VM and not ended. */
  readonly held: number;
  readonly deferredWrites: number;
  readonly tickets: number;
  readonly storeAvailable: boolean;
}

export interface Claims {
  step(event: ClaimsEvent, time: StepTime): readonly ClaimsAction[];
  /** A ticket that only this incarnation may run. */
  mintTicket(time: StepTime): string;
  status(): ClaimsStatus;
}
