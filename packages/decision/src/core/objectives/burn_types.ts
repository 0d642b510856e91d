/** Counts of finished requests, as VMs hold, transfer and store them. */
import * as z from 'zod';
import {
  incarnationSchema,
  regionNameSchema,
  serviceNameSchema,
  vmIdSchema,
  workspaceNameSchema,
} from '../model/index.js';

const countSchema = z.int().nonnegative();

/** Counts for one workspace and service within one time span. */
export const serviceCountsSchema = z.strictObject({
  workspace: workspaceNameSchema,
  service: serviceNameSchema,
  /** Responses with a status below 500. */
  answered: countSchema,
  /** Number of `answered` that exceeded the objective's latency threshold. */
  late: countSchema,
  /** Responses of a target with a status of 500 or above. */
  failed: countSchema,
  /** Requests that may have been executed but got no complete response. */
  unknown: countSchema,
  /** Requests whose caller disconnected before the response. */
  callerGone: countSchema,
  /** Refusals by reason; see `spendsErrorBudget`. */
  refused: z.record(z.string().max(64), countSchema),
  /** Latencies of `answered` in ms: compressed HDR histogram, base64. */
  latency: z.string().max(65_536),
});
export type ServiceCounts = z.infer<typeof serviceCountsSchema>;

/** Counts of one time span; spans of the same length do not overlap. */
export const burnSliceSchema = z.strictObject({
  /** Unix time in milliseconds, a multiple of the span. */
  startMs: z.number().nonnegative(),
  spanMs: z.int().positive(),
  services: z.array(serviceCountsSchema).readonly(),
});
export type BurnSlice = z.infer<typeof burnSliceSchema>;

/** All or part of the counts of one run of a VM's counting task. */
export const burnSummarySchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  region: regionNameSchema,
  /** Unix time at which the run started to count. */
  countedFromMs: z.number().nonnegative(),
  /** Unix time up to which the counts are complete. */
  countedToMs: z.number().nonnegative(),
  /** Whether the VM shut down cleanly after this summary. */
  final: z.boolean(),
  /** One hour each; the last one may still be incomplete. */
  hours: z.array(burnSliceSchema).readonly(),
  /** Five minutes each, for the latest hours; empty in stored summaries. */
  slices: z.array(burnSliceSchema).readonly(),
});
export type BurnSummary = z.infer<typeof burnSummarySchema>;

/** Span of the slices that are stored. */
export const BURN_HOUR_MS = 3_600_000;
/** Span of the finer slices that VMs hold for the latest hours. */
export const BURN_SLICE_MS = 300_000;

/** Prefix of the keys `burn/<day>/<vm>/<incarnation>/<counted from>/<hour>`. */
export const BURN_KEY_PREFIX = 'burn/';
const DAY_MS = 86_400_000;

/** UTC date of a Unix time, such as `2026-12-03`. */
export function formatUtcDate(wallMs: number): string {
  return new Date(wallMs).toISOString().slice(0, 10);
}

/** Prefix of the keys of a Unix time's UTC day, such as `burn/2026-12-03/`. */
export function burnKeyPrefixOfDay(wallMs: number): string {
  return `${BURN_KEY_PREFIX}${formatUtcDate(wallMs)}/`;
}

/** Retention of stored summaries; covers the longest window of an objective. */
export const BURN_RETENTION_DAYS = 91;

/** Key prefixes of all days from one Unix time to another, oldest first. */
export function burnKeyPrefixesOfDays(
  fromMs: number,
  toMs: number,
): readonly string[] {
  const prefixes: string[] = [];
  const firstDay = Math.floor(fromMs / DAY_MS);
  const lastDay = Math.floor(toMs / DAY_MS);
  for (let day = firstDay; day <= lastDay; day += 1) {
    prefixes.push(burnKeyPrefixOfDay(day * DAY_MS));
  }
  return prefixes;
}
