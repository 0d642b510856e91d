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

/** Update about a VM: id, incarnation, revision, state, generation. */
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
  /** Present in the first heartbeat on a link. */
  incarnation: incarnationSchema.optional(),
  /** The sender raises its revision to refute wrong updates about itself. */
  revision: z.int().nonnegative(),
  leaving: z.boolean().optional(),
  generation: generationSchema.optional(),
  /**
   * For each region the hash of its name and the time since one of its VMs was
   * last heard, in tenths of a second.
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
  /** Hash over all VMs that are not live according to the sender. */
  digest: z.int().nonnegative(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;
