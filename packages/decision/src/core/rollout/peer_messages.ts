/** Messages between the configuration parts of two entry VMs. */
import * as z from 'zod';
import {generationSchema} from '../model/index.js';
import {manifestEntrySchema} from './types.js';

const digestSchema = z.string().min(1).max(128);
const MAXIMUM_MANIFEST_ENTRIES = 4_096;
const MAXIMUM_PACKED_BYTES = 1_048_576;

export const configurationPeerMessageSchema = z.discriminatedUnion('kind', [
  /** What the sender runs; repeated, so that a lost one does not matter. */
  z.strictObject({
    kind: z.literal('announcement'),
    generation: generationSchema.optional(),
    /**
     * Milliseconds since the store is known to have had no newer generation;
     * absent when that was never known.
     */
    ageMs: z.int().nonnegative().optional(),
  }),
  z.strictObject({
    kind: z.literal('manifest-wanted'),
    generation: generationSchema,
    /** Generation whose manifest the asker has, to be sent the difference. */
    have: generationSchema.optional(),
  }),
  z.strictObject({
    kind: z.literal('manifest'),
    generation: generationSchema,
    /** Digest of the whole manifest, which the receiver checks. */
    digest: digestSchema,
    /** The entries are the changes since this generation; else all. */
    base: generationSchema.optional(),
    entries: z
      .array(manifestEntrySchema)
      .max(MAXIMUM_MANIFEST_ENTRIES)
      .readonly(),
    removed: z.array(z.string()).max(MAXIMUM_MANIFEST_ENTRIES).readonly(),
  }),
  z.strictObject({kind: z.literal('chunk-wanted'), digest: digestSchema}),
  z.strictObject({
    kind: z.literal('chunk'),
    digest: digestSchema,
    /** The text, deflated (RFC 1951). */
    packed: z.custom<Uint8Array>(isPackedText),
  }),
  z.strictObject({kind: z.literal('chunk-missing'), digest: digestSchema}),
]);
export type ConfigurationPeerMessage = z.infer<
  typeof configurationPeerMessageSchema
>;

function isPackedText(value: unknown): boolean {
  return (
    value instanceof Uint8Array && value.byteLength <= MAXIMUM_PACKED_BYTES
  );
}
