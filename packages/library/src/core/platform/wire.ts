/**
 * HTTP binding of the platform's object API:
 *
 * - `GET /v1/objects/{key}`: 200 with the object, or 404.
 * - `PUT /v1/objects/{key}` with `If-None-Match: *` (create) or
 *   `If-Match: {version}` (update): 200 with the object, or 412 with the
 *   current object.
 * - `DELETE /v1/objects/{key}` with `If-Match`: 204, 404 or 412.
 * - `GET /v1/objects?prefix=`: listing of objects.
 * - `GET /v1/changes?prefix=&after=&waitMs=`: long poll for changes; 410 if the
 *   store no longer holds the changes after that version.
 * - `GET /v1/vms`: list of VMs.
 * - 429 and 503: refused without effect, with an optional `Retry-After` in
 *   seconds.
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
