/**
 * Schemas of the operator port's responses. The port builds its responses to
 * them, the command line validates responses with them, and
 * `docs/openapi.json` is generated from them.
 *
 * Fields that end in `AtMs` or `SinceMs` are Unix time in milliseconds. Ages
 * and remaining times are durations, because monotonic clocks of different VMs
 * cannot be compared.
 */
import {
  burnSummarySchema,
  drainSchema,
  generationSchema,
  incarnationSchema,
  regionNameSchema,
  requestIdSchema,
  serviceNameSchema,
  shiftSchema,
  targetIdSchema,
  vmIdSchema,
  workspaceNameSchema,
  zoneNameSchema,
} from '@ibisbeam/decision';
import * as z from 'zod';

export const poolStatusSchema = z.object({
  service: serviceNameSchema,
  region: regionNameSchema,
  /** Slots that this VM may use now: includes borrowed, excludes lent ones. */
  usableSlots: z.number(),
  ownedSlots: z.number(),
  inFlight: z.number(),
  queued: z.number(),
  inFlightByWorkspace: z.record(workspaceNameSchema, z.number()),
});
export type PoolStatusResponse = z.infer<typeof poolStatusSchema>;

export const configurationResponseSchema = z.object({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  generation: generationSchema.optional(),
  inForceSinceMs: z.number().optional(),
  /** Newest generation that the store or any peer has reported. */
  newestHeard: generationSchema.optional(),
  /** Whether this VM watches the store itself. */
  watching: z.boolean(),
  /** Whether the configuration is confirmed as current. */
  fresh: z.boolean(),
  /** `current`, or why the configuration is not confirmed as current. */
  why: z.string(),
});
export type ConfigurationResponse = z.infer<typeof configurationResponseSchema>;

export const vmStatusSchema = z.object({
  vm: vmIdSchema,
  region: regionNameSchema,
  zone: zoneNameSchema,
  incarnation: incarnationSchema.optional(),
  state: z.enum(['live', 'suspect', 'leaving', 'gone']),
  generation: generationSchema.optional(),
  /** Time since the last heartbeat; absent if none was received. */
  heardAgoMs: z.number().optional(),
});
export type VmStatusResponse = z.infer<typeof vmStatusSchema>;

export const statusResponseSchema = z.object({
  vm: vmIdSchema,
  region: regionNameSchema,
  zone: zoneNameSchema,
  incarnation: incarnationSchema,
  atMs: z.number(),
  configuration: configurationResponseSchema.optional(),
  store: z.object({
    reachable: z.boolean().optional(),
    sinceMs: z.number().optional(),
  }),
  vms: z.array(vmStatusSchema),
  /** Other regions none of whose VMs was heard in time, even through peers. */
  silentRegions: z.array(regionNameSchema),
  /** Whether this VM was paused or cut off, so that its view is unreliable. */
  selfDoubt: z.boolean(),
  stopping: z.boolean(),
  inFlight: z.number().optional(),
  /** This VM's share of the slots in its own region, one entry per service. */
  pools: z.array(poolStatusSchema),
  drains: z.array(
    z.object({
      drain: drainSchema,
      state: z.enum([
        'planned',
        'ramping',
        'drained',
        'returning',
        'ended',
        'aborted',
      ]),
      fraction: z.number(),
      timeLeftMs: z.number().optional(),
    }),
  ),
  shifts: z.array(shiftSchema),
  failovers: z.array(
    z.object({
      from: regionNameSchema,
      startedAtMs: z.number(),
      fraction: z.number(),
    }),
  ),
  leavingTargets: z.array(targetIdSchema),
  ejectedTargets: z.array(targetIdSchema),
  quarantines: z.array(
    z.object({
      fingerprint: z.string(),
      /** Targets that were lost while they ran the request. */
      targetsLost: z.number(),
      timeLeftMs: z.number(),
    }),
  ),
  /** Information that this VM could not obtain, one sentence per item. */
  unknown: z.array(z.string()),
});
export type StatusResponse = z.infer<typeof statusResponseSchema>;

export const journalEntrySchema = z.object({
  atMs: z.number(),
  event: z.string(),
  request: requestIdSchema.optional(),
  fields: z.record(z.string(), z.unknown()),
});
export type JournalEntryResponse = z.infer<typeof journalEntrySchema>;

export const journalResponseSchema = z.object({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  entries: z.array(journalEntrySchema),
});
export type JournalResponse = z.infer<typeof journalResponseSchema>;

export const burnResponseSchema = burnSummarySchema;

export const liftQuarantineResponseSchema = z.object({
  vm: vmIdSchema,
  fingerprint: z.string(),
  /** Peers are notified and lift their own quarantines independently. */
  lifted: z.literal(true),
});

/** Problem details (RFC 9457). */
export const operatorProblemSchema = z.object({
  type: z.url(),
  title: z.string(),
  status: z.int(),
  detail: z.string().optional(),
});
export type OperatorProblem = z.infer<typeof operatorProblemSchema>;

export const sinceParameterSchema = z.coerce.number().int().nonnegative();
export const limitParameterSchema = z.coerce.number().int().min(1).max(5_000);
export const fingerprintSchema = z.string().regex(/^[A-Za-z0-9._:-]{1,64}$/);
