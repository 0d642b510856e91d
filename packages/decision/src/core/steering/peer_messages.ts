/** Steering messages between entry VMs. */
import * as z from 'zod';
import {
  generationSchema,
  regionNameSchema,
  serviceNameSchema,
  targetIdSchema,
} from '../model/index.js';

export const steeringPeerMessageSchema = z.discriminatedUnion('kind', [
  /** Requests slots of a service from a VM of the same region. */
  z.strictObject({
    kind: z.literal('slots-wanted'),
    /** Number of this request for slots, chosen by the borrower. */
    ask: z.int().nonnegative(),
    service: serviceNameSchema,
    slots: z.int().positive(),
  }),
  /**
   * Answer to `slots-wanted`; without slots, a refusal. The lender stops using
   * the slots before it sends this.
   */
  z.strictObject({
    kind: z.literal('slots-granted'),
    ask: z.int().nonnegative(),
    service: serviceNameSchema,
    slots: z.array(z.tuple([targetIdSchema, z.int().positive()])).readonly(),
    leaseMs: z.int().positive(),
  }),
  /** Returns borrowed slots before the lease ends. */
  z.strictObject({
    kind: z.literal('slots-returned'),
    ask: z.int().nonnegative(),
    service: serviceNameSchema,
  }),
  z.strictObject({
    kind: z.literal('target-leaving'),
    target: targetIdSchema,
  }),
  /** A request that may have crashed targets; receivers add them to theirs. */
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
  /** A failover; receivers keep the latest start of each region. */
  z.strictObject({
    kind: z.literal('failover-known'),
    from: regionNameSchema,
    startedAtWallMs: z.number(),
    /** When the region was reachable again; the ramp back starts then. */
    endedAtWallMs: z.number().optional(),
  }),
  /** Asks for failovers; a started VM also asks for a start answer. */
  z.strictObject({
    kind: z.literal('failovers-wanted'),
    /** Incarnation of the asking VM; only set in its start query. */
    incarnation: z.string().max(64).optional(),
  }),
  /** Answer to the `failovers-wanted` message of a started VM. */
  z.strictObject({
    kind: z.literal('start-answer'),
    /** Time since the asking VM's previous incarnation ended, if known. */
    earlierLifeAgeMs: z.number().nonnegative().optional(),
    generation: generationSchema,
    /**
     * How long the answering VM has used only its share of that generation;
     * absent if it never used another one.
     */
    settledForMs: z.number().nonnegative().optional(),
  }),
  /** Service, free slots and usable slots of each pool, to choose relays by. */
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
