/** The heartbeat between two entry VMs; its size is bounded. */
import * as z from 'zod';
import {
  generationSchema,
  incarnationSchema,
  vmIdSchema,
} from '../model/index.js';

export const MAXIMUM_UPDATES_PER_HEARTBEAT = 8;
const MAXIMUM_REGIONS = 256;

export const vmStateSchema = z.enum(['live', 'suspect', 'leaving', 'gone']);

/** What somebody says of a VM: name, incarnation, revision, state, generation. */
export const vmUpdateSchema = z.tuple([
  vmIdSchema,
  incarnationSchema.nullable(),
  z.int().nonnegative(),
  vmStateSchema,
  generationSchema.nullable(),
]);
export type VmUpdate = z.infer<typeof vmUpdateSchema>;

export const heartbeatSchema = z.strictObject({
  kind: z.literal('beat'),
  /** In the first beat on a link. */
  incarnation: incarnationSchema.optional(),
  /** The sender's own; it raises it to contradict what is said of it. */
  revision: z.int().nonnegative(),
  leaving: z.boolean().optional(),
  generation: generationSchema.optional(),
  /**
   * Regions, by the hash of their names, with the time since any VM of them
   * was heard of, in tenths of a second.
   */
  regions: z
    .array(z.tuple([z.int().nonnegative(), z.int().nonnegative()]))
    .max(MAXIMUM_REGIONS)
    .readonly()
    .optional(),
  updates: z
    .array(vmUpdateSchema)
    .max(MAXIMUM_UPDATES_PER_HEARTBEAT)
    .readonly()
    .optional(),
  /** Of all that the sender knows to be other than live. */
  digest: z.int().nonnegative(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;
