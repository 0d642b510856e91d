/** Messages between the steering parts of two entry VMs. */
import * as z from 'zod';
import {
  generationSchema,
  regionNameSchema,
  serviceNameSchema,
  targetIdSchema,
} from '../model/index.js';

export const steeringPeerMessageSchema = z.discriminatedUnion('kind', [
  /** Asks a VM of the same region to lend slots of a service. */
  z.strictObject({
    kind: z.literal('slots-wanted'),
    ask: z.int().nonnegative(),
    service: serviceNameSchema,
    slots: z.int().positive(),
  }),
  /** The lender gave the slots up before it sent this. */
  z.strictObject({
    kind: z.literal('slots-granted'),
    ask: z.int().nonnegative(),
    service: serviceNameSchema,
    slots: z.array(z.tuple([targetIdSchema, z.int().positive()])).readonly(),
    leaseMs: z.int().positive(),
  }),
  /** The borrower is done with them before the lease ends. */
  z.strictObject({
    kind: z.literal('slots-returned'),
    ask: z.int().nonnegative(),
    service: serviceNameSchema,
  }),
  z.strictObject({
    kind: z.literal('target-leaving'),
    target: targetIdSchema,
  }),
  /** A request after which targets died; merged by the union of targets. */
  z.strictObject({
    kind: z.literal('crash-suspected'),
    fingerprint: z.string().min(1).max(64),
    targets: z.array(targetIdSchema).max(8).readonly(),
    ageMs: z.number().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal('quarantine-lifted'),
    fingerprint: z.string().min(1).max(64),
  }),
  /** Start of a failover; merged by the later start. */
  z.strictObject({
    kind: z.literal('failover-known'),
    from: regionNameSchema,
    startedAtWallMs: z.number(),
    /** When the region was heard of again; the ramp back starts there. */
    endedAtWallMs: z.number().optional(),
  }),
  /** A started VM asks what it must know before it takes work. */
  z.strictObject({
    kind: z.literal('failovers-wanted'),
    /** The asking VM's incarnation. */
    incarnation: z.string().max(64).optional(),
  }),
  /** Answer to `failovers-wanted` of a VM that has started. */
  z.strictObject({
    kind: z.literal('start-answer'),
    /** How long ago an earlier incarnation of it ended; absent if unknown. */
    earlierLifeAgeMs: z.number().nonnegative().optional(),
    generation: generationSchema,
    /**
     * For how long the answering VM has used its share of that generation and
     * nothing else; absent if it never used another.
     */
    settledForMs: z.number().nonnegative().optional(),
  }),
  /** Free slots by service, for the choice of a relay. */
  z.strictObject({
    kind: z.literal('pool-load'),
    pools: z
      .array(
        z.tuple([
          serviceNameSchema,
          z.int().nonnegative(),
          z.int().nonnegative(),
        ]),
      )
      .readonly(),
  }),
]);
export type SteeringPeerMessage = z.infer<typeof steeringPeerMessageSchema>;
