/** What a workspace asks of the system for one service. */
import * as z from 'zod';

/** What the choice of a target gives most weight to. */
export const preferenceSchema = z.enum(['latency', 'headroom']);
export type Preference = z.infer<typeof preferenceSchema>;

/** How requests of a service behave; sets the default order of shedding. */
export const trafficClassSchema = z.enum([
  'interactive',
  'transactional',
  'bulk',
]);
export type TrafficClass = z.infer<typeof trafficClassSchema>;

export const hedgingPolicySchema = z.strictObject({
  enabled: z.boolean(),
  /** A second attempt starts after this quantile of observed latency. */
  quantile: z.number().min(0.5).max(0.999),
  /** Hedges as a fraction of successes, 0 to 0.1. */
  budgetFraction: z.number().min(0).max(0.1),
  /** No hedge while the region's free slots are below this fraction. */
  minimumHeadroom: z.number().min(0).max(1),
});

export const shiftPolicySchema = z.strictObject({
  /** Largest fraction of a region's capacity that may move per interval. */
  capFraction: z.number().positive().max(1),
  intervalMs: z.int().positive(),
  /** Whether traffic may leave its home region without an operator. */
  failover: z.boolean(),
});

export type ShiftPolicy = z.infer<typeof shiftPolicySchema>;

export const objectivePolicySchema = z.strictObject({
  /** Fraction of requests that must be answered, such as 0.999. */
  availability: z.number().min(0.5).max(0.99999),
  latencyThresholdMs: z.int().positive(),
  /** Fraction of answers that must come within the threshold. */
  latencyFraction: z.number().min(0.5).max(0.99999),
  windowDays: z.int().min(1).max(90),
});

export const servicePolicySchema = z.strictObject({
  preference: preferenceSchema,
  trafficClass: trafficClassSchema,
  /** Under pressure, lower priorities are refused first; 0 is lowest. */
  priority: z.int().min(0).max(9),
  /** Largest fraction of any pool that this workspace may occupy, 0 to 1. */
  maximumPoolFraction: z.number().positive().max(1),
  /** Deadline for requests that state none. */
  defaultDeadlineMs: z.int().positive(),
  maximumDeadlineMs: z.int().positive(),
  maximumRequestBytes: z.int().positive(),
  /** Longest answer that is held and checked before its first byte goes on. */
  maximumHeldResponseBytes: z.int().nonnegative(),
  /** Retries as a fraction of successes, 0 to 0.1. */
  retryBudgetFraction: z.number().min(0).max(0.1),
  hedging: hedgingPolicySchema,
  shift: shiftPolicySchema,
  objective: objectivePolicySchema,
});
export type ServicePolicy = z.infer<typeof servicePolicySchema>;
