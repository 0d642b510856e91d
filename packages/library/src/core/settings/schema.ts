/** The settings of one entry VM. Times are in milliseconds. */
import {
  incarnationSchema,
  regionNameSchema,
  socketAddressSchema,
  vmIdSchema,
  zoneNameSchema,
} from '@ibisbeam/decision';
import * as z from 'zod';

/** Location of a secret; the settings never contain the secret itself. */
export const secretReferenceSchema = z.union([
  z.strictObject({file: z.string().min(1)}),
  z.strictObject({environmentVariable: z.string().regex(/^[A-Z][A-Z0-9_]*$/)}),
]);
export type SecretReference = z.infer<typeof secretReferenceSchema>;

export const settingsSchema = z.strictObject({
  vm: z.strictObject({
    id: vmIdSchema,
    region: regionNameSchema,
    zone: zoneNameSchema,
    /** Set by the platform at start; generated if absent. */
    incarnation: incarnationSchema.optional(),
  }),
  listen: z.strictObject({
    caller: socketAddressSchema,
    peer: socketAddressSchema,
    operator: socketAddressSchema,
  }),
  platform: z.strictObject({
    url: z.url({protocol: /^https?$/}),
    callTimeoutMs: z.int().min(50).max(60_000).default(2_000),
    watchWaitMs: z.int().min(100).max(120_000).default(20_000),
    vmListIntervalMs: z.int().min(100).max(600_000).default(5_000),
  }),
  /** Peer addresses to contact at start if the store is unavailable. */
  seeds: z.array(socketAddressSchema).default([]),
  keys: z.strictObject({
    /** JSON Web Key Set that verifies tokens of callers, operators and VMs. */
    tokenVerification: secretReferenceSchema,
    /** Private JSON Web Key with which this VM signs its tokens. */
    vmSigning: secretReferenceSchema,
  }),
  requests: z
    .strictObject({
      maximumInFlight: z.int().positive().default(2_000),
      maximumHeaderBytes: z.int().min(1_024).max(65_536).default(16_384),
      connectTimeoutMs: z.int().positive().default(1_000),
    })
    .prefault({}),
  lookup: z
    .strictObject({
      /** How long callers may cache a response. */
      lifetimeMs: z.int().min(1_000).max(300_000).default(5_000),
      maximumVms: z.int().min(1).max(16).default(3),
    })
    .prefault({}),
  membership: z
    .strictObject({
      heartbeatIntervalMs: z.int().min(50).max(60_000).default(1_000),
      suspectAfterMs: z.int().min(100).max(600_000).default(4_000),
    })
    .prefault({}),
  configuration: z
    .strictObject({
      /**
       * The configuration counts as stale if it has not been confirmed as
       * current for this long.
       */
      staleAfterMs: z.int().min(500).max(3_600_000).default(30_000),
    })
    .prefault({}),
  claims: z
    .strictObject({
      retentionMs: z
        .int()
        .min(60_000)
        .default(24 * 3_600_000),
      maximumRecordedBytes: z.int().min(0).max(262_144).default(16_384),
    })
    .prefault({}),
  stop: z
    .strictObject({
      /** Maximum duration of a planned stop. */
      boundMs: z.int().positive().default(60_000),
    })
    .prefault({}),
  logs: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      /** Fraction of answered requests that are logged, 0 to 1. */
      requestSampling: z.number().min(0).max(1).default(0.01),
    })
    .prefault({}),
  metrics: z
    .strictObject({
      statsd: socketAddressSchema.optional(),
    })
    .prefault({}),
});

/** Settings as written in the file; defaults may be omitted. */
export type SettingsInput = z.input<typeof settingsSchema>;
/** Validated settings with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
