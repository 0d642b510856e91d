/** Roll-out messages between two entry VMs. */
import * as z from 'zod';
import {generationSchema} from '../model/index.js';
import {manifestEntrySchema} from './types.js';

const digestSchema = z.string().min(1).max(128);
const MAXIMUM_MANIFEST_ENTRIES = 4_096;
const MAXIMUM_PACKED_BYTES = 1_048_576;

export const configurationPeerMessageSchema = z.discriminatedUnion('kind', [
  /** Generation that the sender runs. Sent periodically, so it may get lost. */
  z.strictObject({
    kind: z.literal('announcement'),
    generation: generationSchema.optional(),
    /**
     * Milliseconds since this generation was last confirmed to be the newest
     * in the store; absent if it never was.
     */
    ageMs: z.int().nonnegative().optional(),
  }),
  z.strictObject({
    kind: z.literal('manifest-wanted'),
    generation: generationSchema,
    /**
     * Generation whose manifest the sender has; the answer may contain only the
     * changes to it.
     */
    have: generationSchema.optional(),
  }),
  z.strictObject({
    kind: z.literal('manifest'),
    generation: generationSchema,
    /** Digest of the complete manifest; checked by the receiver. */
    digest: digestSchema,
    /**
     * Generation that `entries` and `removed` change; absent if `entries` is
     * the complete manifest.
     */
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
    /** Text of the chunk, compressed with raw deflate (RFC 1951). */
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
