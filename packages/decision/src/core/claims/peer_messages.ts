/** Messages about tickets between the claims state machines of two VMs. */
import * as z from 'zod';
import {serviceNameSchema, workspaceNameSchema} from '../model/index.js';
import {recordedAnswerSchema} from './claim_record.js';

/**
 * Identifies one claim attempt across all VMs, incarnations and epochs, so that
 * a delayed answer to an earlier epoch is never matched to a later one.
 */
const nonceSchema = z.string().min(1).max(256);

const claimKeySchema = z.strictObject({
  workspace: workspaceNameSchema,
  service: serviceNameSchema,
  idempotencyKey: z.string().min(1).max(256),
});

const claimEndSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('answered'), answer: recordedAnswerSchema}),
  z.strictObject({kind: z.literal('not-run')}),
  z.strictObject({kind: z.literal('unknown')}),
]);

const claimDecisionSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('run'), token: z.string()}),
  z.strictObject({kind: z.literal('replay'), answer: recordedAnswerSchema}),
  z.strictObject({
    kind: z.literal('in-progress'),
    retryAfterMs: z.number().nonnegative(),
  }),
  z.strictObject({kind: z.literal('outcome-unknown')}),
  z.strictObject({kind: z.literal('key-reused')}),
  z.strictObject({
    kind: z.literal('unavailable'),
    retryAfterMs: z.number().nonnegative(),
    outcome: z.enum(['not-run', 'unknown']),
  }),
]);

export const claimPeerMessageSchema = z.discriminatedUnion('kind', [
  /** Sent to the minting VM; may be repeated with the same nonce. */
  z.strictObject({
    kind: z.literal('ticket-begin'),
    key: claimKeySchema,
    fingerprint: z.string().min(1).max(128),
    nonce: nonceSchema,
    /** Remaining time of the request: a duration, not a point in time. */
    deadlineMs: z.number().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal('ticket-decision'),
    nonce: nonceSchema,
    decision: claimDecisionSchema,
  }),
  z.strictObject({
    kind: z.literal('ticket-end'),
    key: claimKeySchema,
    nonce: nonceSchema,
    end: claimEndSchema,
  }),
  /** Acknowledges `ticket-end`, which is repeated while this is missing. */
  z.strictObject({
    kind: z.literal('ticket-end-kept'),
    nonce: nonceSchema,
    /** Whether the minting VM has a claim with this nonce. */
    known: z.boolean(),
  }),
]);
export type ClaimPeerMessage = z.infer<typeof claimPeerMessageSchema>;
