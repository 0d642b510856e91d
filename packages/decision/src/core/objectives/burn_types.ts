/** Counts of finished requests, as VMs keep, send and store them. */
import * as z from 'zod';
import {
  incarnationSchema,
  regionNameSchema,
  serviceNameSchema,
  vmIdSchema,
  workspaceNameSchema,
} from '../model/index.js';

const countSchema = z.int().nonnegative();

/** Requests of one workspace and service within one span of time. */
export const serviceCountsSchema = z.strictObject({
  workspace: workspaceNameSchema,
  service: serviceNameSchema,
  /** Answers with a status under 500. */
  answered: countSchema,
  /** Of the answered: those over the objective's latency threshold. */
  late: countSchema,
  /** Answers of a target with a status of 500 or more. */
  failed: countSchema,
  /** Requests that may have run and got no whole answer. */
  unknown: countSchema,
  callerGone: countSchema,
  /** Refusals by reason; some spend the budget, see `spendsBudget`. */
  refused: z.record(z.string().max(64), countSchema),
  /** Latency of the answered in milliseconds, HDR, compressed, base64. */
  latency: z.string().max(65_536),
});
export type ServiceCounts = z.infer<typeof serviceCountsSchema>;

/** Counts of one span; spans of one length never overlap. */
export const burnSliceSchema = z.strictObject({
  /** Unix time in milliseconds, a multiple of the span. */
  startMs: z.number().nonnegative(),
  spanMs: z.int().positive(),
  services: z.array(serviceCountsSchema).readonly(),
});
export type BurnSlice = z.infer<typeof burnSliceSchema>;

/** Everything that one life of one VM counted, or a part of it. */
export const burnSummarySchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  region: regionNameSchema,
  /** Unix time at which this life began to count. */
  countedFromMs: z.number().nonnegative(),
  /** Unix time up to which the counts are complete. */
  countedToMs: z.number().nonnegative(),
  /** Whether the VM stopped in good order after this summary. */
  final: z.boolean(),
  /** One hour each; the last may still grow. */
  hours: z.array(burnSliceSchema).readonly(),
  /** Five minutes each, for the newest hours; empty in the store. */
  slices: z.array(burnSliceSchema).readonly(),
});
export type BurnSummary = z.infer<typeof burnSummarySchema>;

export const BURN_HOUR_MS = 3_600_000;
export const BURN_SLICE_MS = 300_000;

/** Prefix of the objects `burn/<day>/<vm>/<incarnation>/<counted from>/<hour>`. */
export const BURN_KEY_PREFIX = 'burn/';
const DAY_MS = 86_400_000;

/** Day of a Unix time, such as `2026-12-03`. */
export function burnDay(wallMs: number): string {
  return new Date(wallMs).toISOString().slice(0, 10);
}

export function burnDayPrefix(wallMs: number): string {
  return `${BURN_KEY_PREFIX}${burnDay(wallMs)}/`;
}

/** The longest window of an objective, and what the store keeps. */
export const BURN_RETENTION_DAYS = 91;

/** The prefixes of all days from one Unix time to another, oldest first. */
export function burnDayPrefixes(
  fromMs: number,
  toMs: number,
): readonly string[] {
  const prefixes: string[] = [];
  const firstDay = Math.floor(fromMs / DAY_MS);
  const lastDay = Math.floor(toMs / DAY_MS);
  for (let day = firstDay; day <= lastDay; day += 1) {
    prefixes.push(burnDayPrefix(day * DAY_MS));
  }
  return prefixes;
}
