/** Schemas of the messages between gateways, validated on receipt. */
import * as z from 'zod';
import {checkedArray} from '../core/checked_array.js';

export const vmRecordSchema = z.object({
  id: z.string().min(1).max(128),
  /** Unix milliseconds of the process start; grows with each restart. */
  startedWallMs: z.number(),
  host: z.string().max(64),
  /** Address for clients, as listed in the directory. */
  callerAddress: z.string().max(80),
  zone: z.string().max(64),
  region: z.string().max(64),
});

const mirroredObjectSchema = z.object({
  name: z.string(),
  version: z.number(),
  value: z.unknown(),
});

const mirrorEventSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('put'), object: mirroredObjectSchema}),
  z.object({
    kind: z.literal('deleted'),
    name: z.string(),
    version: z.number(),
  }),
]);

const rateLimitReportSchema = z.object({
  incarnation: z.string().max(512),
  /** Requests per second; absent once the target states no limit anymore. */
  perSecond: z.number().nonnegative().optional(),
  /** Time since the target said so. */
  ageMs: z.number().nonnegative(),
});

const targetReachSchema = z.object({
  /** Whether the sender is cut off from targets that others reach. */
  cutOff: z.boolean(),
  /** Time since it reached a target; absent while that is in doubt. */
  ageMs: z.number().nonnegative().optional(),
});

const leavingReportSchema = z.object({
  incarnation: z.string().max(512),
  /** Time since the target said that it is leaving. */
  ageMs: z.number().nonnegative(),
});

const congestionReportSchema = z.object({
  incarnation: z.string().max(512),
  /** Requests that the target runs or has in its queue. */
  load: z.number().nonnegative(),
  /** Time since the target said so. */
  ageMs: z.number().nonnegative(),
});

const quotaDemandSchema = z.object({
  /** Whether workspaces that are not named have none; else unchanged. */
  whole: z.boolean(),
  /** Workspaces and requests per second. */
  rates: checkedArray(
    z.tuple([z.string().max(256), z.number().nonnegative()]),
    20_000,
  ),
});

const targetEntrySchema = z.object({
  id: z.string().max(512),
  service: z.string().max(256),
  host: z.string().max(64),
  port: z.number(),
  zone: z.string().max(64),
  slots: z.number().positive(),
  draining: z.boolean(),
  coldRemainingMs: z.number().nonnegative(),
  startedAtWallMs: z.number(),
  sequence: z.number().optional(),
});

/** What a VM knows better than a store that has come back from a copy. */
const restoreMemorySchema = z.object({
  /** Time until the store's list is taken as it is. */
  leftMs: z.number().nonnegative(),
  listed: checkedArray(targetEntrySchema, 20_000),
  departed: checkedArray(targetEntrySchema, 20_000),
  evacuated: checkedArray(z.string().max(64), 1_000),
  /** Zones whose evacuation was lifted in the last minute. */
  lifted: checkedArray(z.string().max(64), 1_000),
  /** The configuration in force, as its writer wrote it. */
  configuration: z.object({value: z.unknown(), version: z.number()}).optional(),
});

const storeKindSchema = z.enum(['targets', 'configuration', 'evacuations']);

/** Version of the sender's copy of each kind; absent without a copy. */
const copyVersionsSchema = z.object({
  targets: z.number().optional(),
  configuration: z.number().optional(),
  evacuations: z.number().optional(),
});

export const peerMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('hello'),
    vm: vmRecordSchema,
    /** Other VMs that the sender knows; some may be gone. */
    known: checkedArray(vmRecordSchema, 2_000),
    /**
     * Whether the sender reads `nextWithinMs`, so that peers in other regions
     * may send it fewer heartbeats; absent means not.
     */
    readsNextWithin: z.boolean().optional(),
    /**
     * What requests that peers relay to the sender carry as a proof; absent
     * from VMs that ask for none.
     */
    relayToken: z.string().min(1).max(128).optional(),
  }),
  z.object({
    kind: z.literal('heartbeat'),
    /** Whether the VM accepts clients. */
    serving: z.boolean(),
    /** Age of the oldest of the sender's own store confirmations, if any. */
    watchAgeMs: z.number().nonnegative().optional(),
    /** Busy slots needed by the VM's own clients, by service. */
    demand: checkedArray(z.tuple([z.string().max(256), z.number()]), 500),
    /** Rate limits that targets state; absent from VMs that do not read them. */
    rateLimits: checkedArray(rateLimitReportSchema, 5_000).optional(),
    /** Absent from VMs that do not tell it. */
    copyVersions: copyVersionsSchema.optional(),
    /** Absent from VMs that do not watch it. */
    targetReach: targetReachSchema.optional(),
    /**
     * Targets that have said that they are full, or are not any more; absent
     * if there are none, and from VMs that do not tell it.
     */
    congestedTargets: checkedArray(congestionReportSchema, 1_000).optional(),
    /**
     * Time until the sender's next heartbeat to this peer; absent means the
     * usual 400 ms.
     */
    nextWithinMs: z.number().nonnegative().optional(),
    /** Targets that say that they are leaving; absent as `rateLimits`. */
    leavingTargets: checkedArray(leavingReportSchema, 5_000).optional(),
    /**
     * Demand of workspaces with a quota at the sender; absent if nothing has
     * changed, and from VMs that keep no quotas.
     */
    quotaDemand: quotaDemandSchema.optional(),
  }),
  z.object({kind: z.literal('want-snapshot'), of: storeKindSchema}),
  /** Asks whether the sender's copies of the store are current. */
  z.object({
    kind: z.literal('confirm-copies'),
    /** On the sender's clock; repeated in the answer. */
    askedAtMs: z.number(),
  }),
  z.object({
    kind: z.literal('copies-confirmed'),
    askedAtMs: z.number(),
    /** Copies that are at least as new are current. */
    copyVersions: copyVersionsSchema,
  }),
  z.object({
    kind: z.literal('snapshot'),
    of: storeKindSchema,
    version: z.number(),
    objects: checkedArray(mirroredObjectSchema),
    /** Remaining grace period before missing objects count as deleted. */
    settlingMs: z.number().nonnegative(),
  }),
  z.object({
    kind: z.literal('batch'),
    of: storeKindSchema,
    /** Version to which the events apply. */
    from: z.number(),
    version: z.number(),
    events: checkedArray(mirrorEventSchema),
    settlingMs: z.number().nonnegative(),
  }),
  z.object({
    kind: z.literal('restore-memory'),
    memory: restoreMemorySchema,
  }),
  z.object({
    kind: z.literal('target-lost'),
    /** Identifies the request that the target was running. */
    fingerprint: z.string().max(64),
    target: z.string().max(256),
    /** Time since the target was dead; absent means just now. */
    ageMs: z.number().nonnegative().optional(),
    /** Length of the time in which it died; absent if the moment is known. */
    spanMs: z.number().nonnegative().optional(),
    /**
     * Deaths at about the time of the request's losses, with or without it;
     * absent from VMs that do not count them.
     */
    deaths: z.number().nonnegative().optional(),
  }),
  /** Targets have outlived a request under which others were lost. */
  z.object({
    kind: z.literal('request-answered'),
    fingerprint: z.string().max(64),
    /** In the busiest second; absent from VMs that do not measure it. */
    survived: z
      .object({
        runsPerSecond: z.number().nonnegative(),
        /** Durations of these runs together. */
        msPerSecond: z.number().nonnegative(),
      })
      .optional(),
    /** The VM that sent them; absent if the sender did. */
    vm: z.string().max(128).optional(),
  }),
]);

export type PeerMessage = z.infer<typeof peerMessageSchema>;
export type RestoreMemory = z.infer<typeof restoreMemorySchema>;
export type VmRecord = z.infer<typeof vmRecordSchema>;
export type CopyVersions = z.infer<typeof copyVersionsSchema>;
export type StoreKind = z.infer<typeof storeKindSchema>;
