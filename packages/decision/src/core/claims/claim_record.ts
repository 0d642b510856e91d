/** The stored form of a claim and the store keys of claims. */
import {createHash} from 'node:crypto';
import * as z from 'zod';
import {incarnationSchema, vmIdSchema} from '../model/index.js';
import type {ClaimEnd, ClaimKey, RecordedAnswer} from './types.js';

export const CLAIM_PREFIX = 'claims/';
/** Three hexadecimal digits give 4,096 shards; each is listed on its own. */
const SHARD_DIGITS = 3;
export const CLAIM_SHARDS = 16 ** SHARD_DIGITS;

export const recordedAnswerSchema = z.strictObject({
  status: z.int().min(100).max(599),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.string().optional(),
});

export const claimRecordSchema = z.strictObject({
  fingerprint: z.string().min(1),
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  /** Unique to one claim attempt; identifies whose create took effect. */
  nonce: z.string().min(1),
  claimedAtWallMs: z.number(),
  /** Unix time after which the holder sends no request under this claim. */
  deadlineWallMs: z.number(),
  end: z
    .discriminatedUnion('kind', [
      z.strictObject({
        kind: z.literal('answered'),
        answer: recordedAnswerSchema,
      }),
      z.strictObject({kind: z.literal('not-run')}),
      z.strictObject({kind: z.literal('unknown')}),
    ])
    .optional(),
});
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** Returns the store key of a claim, such as `claims/7f0/<hash>`. */
export function claimStoreKey(key: ClaimKey): string {
  const hash = createHash('sha256')
    .update(`${key.workspace}\n${key.service}\n${key.idempotencyKey}`)
    .digest('hex');
  return `${CLAIM_PREFIX}${hash.slice(0, SHARD_DIGITS)}/${hash}`;
}

export function claimShardPrefix(shard: number): string {
  const digits = shard.toString(16).padStart(SHARD_DIGITS, '0');
  return `${CLAIM_PREFIX}${digits}/`;
}

/**
 * Drops the body of an answer if its base64 is longer than `maximumCharacters`.
 * The status and the headers are kept.
 */
export function omitLongBody(
  end: ClaimEnd,
  maximumCharacters: number,
): ClaimEnd {
  if (end.kind !== 'answered') {
    return end;
  }
  const bytes = end.answer.bodyBase64?.length ?? 0;
  if (bytes <= maximumCharacters) {
    return end;
  }
  const {status, headers} = end.answer;
  return {kind: 'answered', answer: {status, headers}};
}

/** Whether the body is missing because it was too long to record. */
export function lacksBody(answer: RecordedAnswer): boolean {
  return answer.bodyBase64 === undefined;
}
