/**
 * Decodes the day reports that the users' bench writes with `--report`. No
 * other file of this package knows the field names of that format.
 */
import {type Either, Left, Right} from 'purify-ts';
import * as z from 'zod';

/** Outcomes of the requests of one kind, zone or window of a day. */
export interface GroupFigures {
  readonly name: string;
  readonly requests: number;
  /** Fraction of the requests, 0 to 1; the same holds for the next three. */
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Credit earned as a fraction of the credit owed, 0 to 1. */
  readonly earned: number;
  readonly medianMs: number;
  readonly p99Ms: number;
}

export interface DayReport {
  /** Credit minus prices, weighted as in the users' bench. */
  readonly worth: number;
  readonly brokenRules: readonly string[];
  readonly kinds: readonly GroupFigures[];
  readonly zones: readonly GroupFigures[];
  /** Windows of two seconds, named by the second in which they start. */
  readonly windows: readonly GroupFigures[];
  /** Prices by the item charged for, in descending order. */
  readonly prices: readonly {readonly of: string; readonly worth: number}[];
}

const groupSchema = z
  .object({
    name: z.union([z.string(), z.number()]),
    n: z.number(),
    in_aim: z.number(),
    late: z.number(),
    refused: z.number(),
    failed: z.number(),
    worth: z.number().nullable(),
    p50_ms: z.number().nullable(),
    p99_ms: z.number().nullable(),
  })
  .transform((group): GroupFigures => {
    const share = (count: number): number =>
      group.n === 0 ? 0 : count / group.n;
    return {
      name: String(group.name),
      requests: group.n,
      inTime: share(group.in_aim),
      late: share(group.late),
      refused: share(group.refused),
      failed: share(group.failed),
      earned: group.worth ?? 0,
      medianMs: group.p50_ms ?? 0,
      p99Ms: group.p99_ms ?? 0,
    };
  });

const reportSchema = z
  .object({
    /** The worth of the day. */
    G: z.number(),
    breaks: z.record(z.string(), z.unknown()),
    classes: z.array(groupSchema),
    zones: z.array(groupSchema),
    windows: z.array(groupSchema),
    /** Item, amount, and its negative contribution to the worth. */
    prices: z.array(z.tuple([z.string(), z.unknown(), z.number()])),
  })
  .transform((report): DayReport => ({
    worth: report.G,
    brokenRules: Object.keys(report.breaks),
    kinds: report.classes,
    zones: report.zones,
    windows: report.windows,
    prices: report.prices
      .map(([of, , worth]) => ({of, worth: Math.abs(worth)}))
      .sort((left, right) => right.worth - left.worth),
  }));

/** @returns The report, or why the text cannot be decoded. */
export function readDayReport(text: string): Either<string, DayReport> {
  let decoded: unknown;
  try {
    decoded = JSON.parse(text);
  } catch (error) {
    return Left(String(error));
  }
  const parsed = reportSchema.safeParse(decoded);
  return parsed.success
    ? Right(parsed.data)
    : Left(z.prettifyError(parsed.error));
}
