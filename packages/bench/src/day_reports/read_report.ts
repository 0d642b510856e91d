/**
 * Reports of days that the users' bench leaves with `--report`. Its names are
 * decoded here and nowhere else in the bench.
 */
import {type Either, Left, Right} from 'purify-ts';
import * as z from 'zod';

/** How the requests of one kind, zone or span of the day fared. */
export interface GroupFigures {
  readonly name: string;
  readonly requests: number;
  /** Shares of the requests, 0 to 1. */
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Credit earned of the credit owed, 0 to 1. */
  readonly earned: number;
  readonly medianMs: number;
  readonly p99Ms: number;
}

export interface DayReport {
  /** Credit less prices, as the users weigh it. */
  readonly worth: number;
  readonly brokenRules: readonly string[];
  readonly kinds: readonly GroupFigures[];
  readonly zones: readonly GroupFigures[];
  /** Spans of two seconds, named by their first. */
  readonly windows: readonly GroupFigures[];
  /** Prices by what they are charged for, the highest first. */
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
    /** The 99th percentile. */
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
    /** Holds the worth, in spite of its name. */
    G: z.number(),
    breaks: z.record(z.string(), z.unknown()),
    classes: z.array(groupSchema),
    zones: z.array(groupSchema),
    windows: z.array(groupSchema),
    /** Name, amount, worth taken off. */
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
      .sort((one, other) => other.worth - one.worth),
  }));

/** @returns What is wrong with the text, or the report. */
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
