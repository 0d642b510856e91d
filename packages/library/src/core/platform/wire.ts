/**
 * The HTTP form of the platform's object API that the client speaks:
 *
 * - `GET /v1/objects/{key}`: 200 with an object, or 404.
 * - `PUT /v1/objects/{key}` with `If-None-Match: *` (create) or
 *   `If-Match: {version}` (update): 200 with the object, or 412 with the
 *   current one.
 * - `DELETE /v1/objects/{key}` with `If-Match`: 204, 404 or 412.
 * - `GET /v1/objects?prefix=`: a listing.
 * - `GET /v1/changes?prefix=&after=&waitMs=`: changes, or 410 on a gap.
 * - `GET /v1/vms`: the list of VMs.
 * - 429 and 503, with `Retry-After` in seconds: refused without effect.
 */
import {incarnationSchema, vmIdSchema} from '@ibisbeam/decision';
import * as z from 'zod';

export const platformObjectSchema = z.object({
  key: z.string(),
  version: z.number(),
  value: z.unknown(),
});

export const platformListingSchema = z.object({
  objects: z.array(platformObjectSchema),
  version: z.number(),
});

export const platformChangesSchema = z.object({
  changes: z.array(
    z.discriminatedUnion('kind', [
      z.object({kind: z.literal('put'), object: platformObjectSchema}),
      z.object({
        kind: z.literal('deleted'),
        key: z.string(),
        version: z.number(),
      }),
    ]),
  ),
  version: z.number(),
});

export const platformVmsSchema = z.object({
  vms: z.array(
    z.object({
      vm: vmIdSchema,
      incarnation: incarnationSchema,
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

export const conflictSchema = z.object({
  current: platformObjectSchema.optional(),
});
