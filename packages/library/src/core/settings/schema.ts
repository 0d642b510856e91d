/** The settings of one entry VM. Times are in milliseconds. */
import {
  incarnationSchema,
  regionNameSchema,
  socketAddressSchema,
  vmIdSchema,
  zoneNameSchema,
} from '@ibisbeam/decision';
import * as z from 'zod';

/** Where a secret is: never in the settings themselves. */
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
    /** Given by the platform at start; made up when absent. */
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
  /** Peer addresses to start from when the store is away. */
  seeds: z.array(socketAddressSchema).default([]),
  keys: z.strictObject({
    /** JSON Web Key Set that checks tokens of callers, operators and VMs. */
    tokenVerification: secretReferenceSchema,
    /** Private JSON Web Key with which this VM signs its own tokens. */
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
      /** Lifetime of an answer in a caller's cache. */
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
      /** Without a sign that the configuration is current for this long, the
       * VM counts it as stale. */
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
      /** Upper bound of a planned stop. */
      boundMs: z.int().positive().default(60_000),
    })
    .prefault({}),
  logs: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      /** Fraction of answered requests that leave a log line, 0 to 1. */
      requestSampling: z.number().min(0).max(1).default(0.01),
    })
    .prefault({}),
  metrics: z
    .strictObject({
      statsd: socketAddressSchema.optional(),
    })
    .prefault({}),
});

/** Settings as written, with defaults left out. */
export type SettingsInput = z.input<typeof settingsSchema>;
/** Settings with every default filled in. */
export type Settings = z.infer<typeof settingsSchema>;
