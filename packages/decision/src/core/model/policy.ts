/** Routing policy and objectives of one workspace for one service. */
import * as z from 'zod';

/** What the choice between targets favours: low latency or free slots. */
export const preferenceSchema = z.enum(['latency', 'headroom']);
export type Preference = z.infer<typeof preferenceSchema>;

/** Kind of traffic; sets the default order of load shedding. */
export const trafficClassSchema = z.enum([
  'interactive',
  'transactional',
  'bulk',
]);
export type TrafficClass = z.infer<typeof trafficClassSchema>;

export const hedgingPolicySchema = z.strictObject({
  enabled: z.boolean(),
  /** A hedge is sent once an attempt exceeds this quantile of the latency. */
  quantile: z.number().min(0.5).max(0.999),
  /** Maximum hedges as a fraction of the successful requests, 0 to 0.1. */
  budgetFraction: z.number().min(0).max(0.1),
  /** No hedges while the region's fraction of free slots is below this. */
  minimumHeadroom: z.number().min(0).max(1),
});

export const shiftPolicySchema = z.strictObject({
  /** Largest fraction of a region's capacity that may move per interval. */
  capFraction: z.number().positive().max(1),
  intervalMs: z.int().positive(),
  /** Whether traffic may fail over to other regions without an operator. */
  failover: z.boolean(),
});

export type ShiftPolicy = z.infer<typeof shiftPolicySchema>;

export const objectivePolicySchema = z.strictObject({
  /** Fraction of requests that must succeed, such as 0.999. */
  availability: z.number().min(0.5).max(0.99999),
  latencyThresholdMs: z.int().positive(),
  /** Fraction of responses that must arrive within the threshold. */
  latencyFraction: z.number().min(0.5).max(0.99999),
  /** Length of the rolling window over which the error budget is computed. */
  windowDays: z.int().min(1).max(90),
});

export const servicePolicySchema = z.strictObject({
  preference: preferenceSchema,
  trafficClass: trafficClassSchema,
  /** Under overload, lower priorities are refused first; 0 is the lowest. */
  priority: z.int().min(0).max(9),
  /** Largest fraction of a pool's slots that the workspace may use, 0 to 1. */
  maximumPoolFraction: z.number().positive().max(1),
  /** Time from arrival to the deadline of requests that state none. */
  defaultDeadlineMs: z.int().positive(),
  /** Maximum time from a request's arrival to its deadline. */
  maximumDeadlineMs: z.int().positive(),
  maximumRequestBytes: z.int().positive(),
  /**
   * Largest response that is buffered and checked as a whole before its first
   * byte is forwarded.
   */
  maximumHeldResponseBytes: z.int().nonnegative(),
  /** Maximum retries as a fraction of the successful requests, 0 to 0.1. */
  retryBudgetFraction: z.number().min(0).max(0.1),
  hedging: hedgingPolicySchema,
  shift: shiftPolicySchema,
  objective: objectivePolicySchema,
});
export type ServicePolicy = z.infer<typeof servicePolicySchema>;
