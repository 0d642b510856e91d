/** Messages between the claims parts of two entry VMs, about tickets. */
import * as z from 'zod';
import {serviceNameSchema, workspaceNameSchema} from '../model/index.js';
import {recordedAnswerSchema} from './claim_record.js';

/**
 * Names one attempt to claim over all lives of all VMs, so that a late answer
 * to an earlier life is never taken for an answer to a later one.
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
  /** Asks the minter; with the same nonce it may be asked again. */
  z.strictObject({
    kind: z.literal('ticket-begin'),
    key: claimKeySchema,
    fingerprint: z.string().min(1).max(128),
    nonce: nonceSchema,
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
  z.strictObject({
    kind: z.literal('ticket-end-kept'),
    nonce: nonceSchema,
    known: z.boolean(),
  }),
]);
export type ClaimPeerMessage = z.infer<typeof claimPeerMessageSchema>;
