/**
 * Request rates that targets state in their answers while they need to be
 * spared. A rate holds for all VMs together, so VMs tell each other what they
 * hear; the newest statement of a target counts, whichever VM heard it.
 */

/** What a target said last, as one VM tells it to another. */
export interface RateLimitReport {
  readonly incarnation: string;
  /** Requests per second; undefined once the target states no limit anymore. */
  readonly perSecond?: number | undefined;
  /** Time since the target said so. */
  readonly ageMs: number;
}

export type RateLimitChange = 'stated' | 'changed' | 'lifted';

export interface StatedRateLimits {
  /** Requests per second that all VMs together may send; undefined if any. */
  limitOf(incarnation: string): number | undefined;
  /** Targets with a limit in force. */
  limited(): readonly string[];
  /**
   * Records an answer of the target.
   *
   * @param perSecond The limit that the answer states; undefined without one.
   */
  recordAnswer(
    incarnation: string,
    perSecond: number | undefined,
    nowMs: number,
  ): RateLimitChange | undefined;
  recordReport(
    report: RateLimitReport,
    nowMs: number,
  ): RateLimitChange | undefined;
  /** Everything that is known, for a VM that has just connected. */
  reports(nowMs: number): readonly RateLimitReport[];
  /** What this VM heard from targets since the last call. */
  takeNews(nowMs: number): readonly RateLimitReport[];
  /**
   * Forgets limits that no VM has heard of for a long time; returns the targets
   * concerned.
   */
  expire(nowMs: number): readonly string[];
  remove(incarnation: string): void;
}

/**
 * An answer without a limit ends it only this long after the last one that
 * stated it: answers overtake each other, and VMs hear from peers with a delay.
 */
const LIFT_DELAY_MS = 1_000;
/**
 * A limit that is not stated again by then is no longer kept: requests may all
 * go to other targets that are as good, and no answer would tell of its end.
 */
const LIMIT_LIFETIME_MS = 8_000;
/** Smaller changes are not reported as changes. */
const CHANGE_RATIO = 1.1;

interface Statement {
  perSecond: number | undefined;
  saidAtMs: number;
  /** Whether this VM heard it from the target and has not told it yet. */
  isNews: boolean;
}

export function createStatedRateLimits(): StatedRateLimits {
  const statements = new Map<string, Statement>();

  function replace(
    incarnation: string,
    next: Statement,
  ): RateLimitChange | undefined {
    const before = statements.get(incarnation)?.perSecond;
    statements.set(incarnation, next);
    if (next.perSecond === undefined) {
      return before === undefined ? undefined : 'lifted';
    }
    if (before === undefined) {
      return 'stated';
    }
    const isNear =
      next.perSecond <= before * CHANGE_RATIO &&
      before <= next.perSecond * CHANGE_RATIO;
    return isNear ? undefined : 'changed';
  }

  function recordAnswer(
    incarnation: string,
    perSecond: number | undefined,
    nowMs: number,
  ): RateLimitChange | undefined {
    const known = statements.get(incarnation);
    if (perSecond === undefined) {
      const isLifted =
        known?.perSecond !== undefined &&
        nowMs - known.saidAtMs >= LIFT_DELAY_MS;
      if (!isLifted) {
        return undefined;
      }
    }
    return replace(incarnation, {perSecond, saidAtMs: nowMs, isNews: true});
  }

  function recordReport(
    {incarnation, perSecond, ageMs}: RateLimitReport,
    nowMs: number,
  ): RateLimitChange | undefined {
    const saidAtMs = nowMs - ageMs;
    const known = statements.get(incarnation);
    if (known && known.saidAtMs >= saidAtMs) {
      return undefined;
    }
    return replace(incarnation, {perSecond, saidAtMs, isNews: false});
  }

  function reportOf(
    incarnation: string,
    {perSecond, saidAtMs}: Statement,
    nowMs: number,
  ): RateLimitReport {
    return {incarnation, perSecond, ageMs: Math.max(0, nowMs - saidAtMs)};
  }

  return {
    limitOf: incarnation => statements.get(incarnation)?.perSecond,
    limited: () => {
      const limited: string[] = [];
      for (const [incarnation, {perSecond}] of statements) {
        if (perSecond !== undefined) {
          limited.push(incarnation);
        }
      }
      return limited;
    },
    recordAnswer,
    recordReport,
    reports: nowMs =>
      [...statements].map(([incarnation, statement]) =>
        reportOf(incarnation, statement, nowMs),
      ),
    takeNews: nowMs => {
      const news: RateLimitReport[] = [];
      for (const [incarnation, statement] of statements) {
        if (statement.isNews) {
          statement.isNews = false;
          news.push(reportOf(incarnation, statement, nowMs));
        }
      }
      return news;
    },
    expire: nowMs => {
      const expired: string[] = [];
      for (const [incarnation, {saidAtMs, perSecond}] of statements) {
        if (nowMs - saidAtMs <= LIMIT_LIFETIME_MS) {
          continue;
        }
        statements.delete(incarnation);
        if (perSecond !== undefined) {
          expired.push(incarnation);
        }
      }
      return expired;
    },
    remove: incarnation => {
      statements.delete(incarnation);
    },
  };
}
