/**
 * Stored form of the configuration.
 *
 * Key `configuration/head` holds the head; `configuration/chunk/<digest>`
 * holds a section. A generation is accepted by one conditional update of the
 * head.
 */
import * as z from 'zod';
import {generationSchema} from '../model/index.js';

export const CONFIGURATION_HEAD_KEY = 'configuration/head';
export const CONFIGURATION_CHUNK_PREFIX = 'configuration/chunk/';
/**
 * Limit of write identifiers in the head. A writer whose call went unanswered
 * looks up its identifier to learn whether the write took effect.
 */
export const MAXIMUM_RECORDED_WRITES = 64;

export const manifestEntrySchema = z.strictObject({
  section: z.string().min(1),
  digest: z.string().min(1),
  bytes: z.int().nonnegative(),
});
export type ManifestEntry = z.infer<typeof manifestEntrySchema>;

export const configurationHeadSchema = z.strictObject({
  generation: generationSchema,
  manifest: z.array(manifestEntrySchema).readonly(),
  writes: z
    .array(
      z.strictObject({
        writeId: z.string().min(1),
        generation: generationSchema,
        author: z.string(),
        summary: z.string().max(500),
        atMs: z.number(),
      }),
    )
    .max(MAXIMUM_RECORDED_WRITES)
    .readonly(),
});
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>;
