/**
 * What one VM knows of the load and health of each target: its own requests
 * there, the load that answers report, how fast answers come, and failures.
 */

export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

export interface TargetLoad {
  /** This VM's requests that the target has not answered. */
  inFlight(life: string): number;
  /** Requests at the target, of this VM and, by its reports, of others. */
  estimate(life: string, nowMs: number): number;
  /** How many times slower than its service's usual pace; 1 if unknown. */
  slowness(life: string): number;
  /**
   * How much longer answers have taken of late than was expected, in
   * milliseconds; loses weight with its age.
   */
  delayMs(life: string, nowMs: number): number;
  /** Share of recent requests that the target failed, 0 to 1. */
  failureShare(life: string): number;
  /** No new requests before this moment. */
  avoidUntilMs(life: string): number;
  /** True for a while after the target failed to take a connection. */
  isReturning(life: string, nowMs: number): boolean;
  sent(life: string): void;
  /** An attempt has ended, in whatever way. */
  ended(life: string): void;
  reported(life: string, report: LoadReport, nowMs: number): void;
  /**
   * The target refused a request as one too many.
   *
   * @returns False if it had room by all that is known: it fails.
   */
  wasFull(life: string, slots: number, nowMs: number): boolean;
  /**
   * @param ratio Time taken against the time expected of an idle target;
   *     absent if the target may have had a queue.
   */
  answered(life: string, ratio: number | undefined): void;
  /** @param tookMs Time taken beyond what was expected, or less than 0. */
  delayed(life: string, tookMs: number, nowMs: number): void;
  failed(life: string): void;
  /** The target did not take a connection, or broke one off. */
  unreachable(life: string, nowMs: number): void;
  forget(life: string): void;
}

/** Weight of the newest sample in moving averages. */
const SAMPLE_WEIGHT = 0.2;
/** Weight of the newest report: one alone may have been made in a lull. */
const REPORT_WEIGHT = 0.5;
/** A report older than this says nothing of the present. */
const REPORT_LIFETIME_MS = 500;
/** Load assumed of a target that refuses for being full, in its slots. */
const FULL_LOAD_FACTOR = 2;
/** First pause after a failed connection; doubles with each further one. */
const FIRST_AVOIDANCE_MS = 200;
const LONGEST_AVOIDANCE_MS = 1_600;
/** A target that refused connections is taken for freshly started so long. */
const RETURN_SPAN_MS = 4_000;
/**
 * What others send shows late in reports, so that a queue is longer than it
 * looks; answers tell, and a queue changes within about this time.
 */
const DELAY_MEMORY_MS = 1_000;
/** One answer counts for no more delay than this. */
const MOST_DELAY_MS = 2_000;
/** Slowness is kept in these bounds, so that one sample cannot exile. */
const LEAST_SLOWNESS = 0.5;
const MOST_SLOWNESS = 20;

interface LoadRecord {
  inFlight: number;
  others: number;
  reportedAtMs: number;
  slowness: number;
  delayMs: number;
  delayedAtMs: number;
  failures: number;
  connectFailures: number;
  avoidUntilMs: number;
  returningUntilMs: number;
}

export function createTargetLoad(): TargetLoad {
  const records = new Map<string, LoadRecord>();

  function recordOf(life: string): LoadRecord {
    const known = records.get(life);
    if (known) {
      return known;
    }
    const record: LoadRecord = {
      inFlight: 0,
      others: 0,
      reportedAtMs: -Infinity,
      slowness: 1,
      delayMs: 0,
      delayedAtMs: -Infinity,
      failures: 0,
      connectFailures: 0,
      avoidUntilMs: -Infinity,
      returningUntilMs: -Infinity,
    };
    records.set(life, record);
    return record;
  }

  function estimate(life: string, nowMs: number): number {
    const record = records.get(life);
    if (!record) {
      return 0;
    }
    const isFresh = nowMs - record.reportedAtMs < REPORT_LIFETIME_MS;
    return record.inFlight + (isFresh ? record.others : 0);
  }

  function reported(life: string, report: LoadReport, nowMs: number): void {
    const record = recordOf(life);
    // The answered request still counts as in flight here, not at the target.
    const own = Math.max(0, record.inFlight - 1);
    const others = Math.max(0, report.running + report.waiting - own);
    const isFresh = nowMs - record.reportedAtMs < REPORT_LIFETIME_MS;
    const before = isFresh ? record.others : others;
    record.others = before + (others - before) * REPORT_WEIGHT;
    record.reportedAtMs = nowMs;
  }

  function wasFull(life: string, slots: number, nowMs: number): boolean {
    const record = recordOf(life);
    const hadRoom = estimate(life, nowMs) < slots;
    const isReported = nowMs - record.reportedAtMs < REPORT_LIFETIME_MS;
    if (hadRoom && isReported) {
      return false;
    }
    record.others = Math.max(record.others, slots * FULL_LOAD_FACTOR);
    record.reportedAtMs = nowMs;
    return true;
  }

  function answered(life: string, ratio: number | undefined): void {
    const record = recordOf(life);
    if (ratio !== undefined) {
      const sample = Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, ratio));
      record.slowness += (sample - record.slowness) * SAMPLE_WEIGHT;
    }
    record.failures -= record.failures * SAMPLE_WEIGHT;
    record.connectFailures = 0;
  }

  function delayMs(life: string, nowMs: number): number {
    const record = records.get(life);
    if (!record) {
      return 0;
    }
    const ageMs = nowMs - record.delayedAtMs;
    return Math.max(0, record.delayMs) * Math.exp(-ageMs / DELAY_MEMORY_MS);
  }

  function delayed(life: string, tookMs: number, nowMs: number): void {
    const record = recordOf(life);
    const sample = Math.min(MOST_DELAY_MS, tookMs);
    const ageMs = nowMs - record.delayedAtMs;
    const before = record.delayMs * Math.exp(-ageMs / DELAY_MEMORY_MS);
    record.delayMs = before + (sample - before) * SAMPLE_WEIGHT;
    record.delayedAtMs = nowMs;
  }

  function unreachable(life: string, nowMs: number): void {
    const record = recordOf(life);
    const pauseMs = Math.min(
      LONGEST_AVOIDANCE_MS,
      FIRST_AVOIDANCE_MS * 2 ** record.connectFailures,
    );
    record.connectFailures += 1;
    record.avoidUntilMs = Math.max(record.avoidUntilMs, nowMs + pauseMs);
    record.returningUntilMs = record.avoidUntilMs + RETURN_SPAN_MS;
  }

  return {
    inFlight: life => records.get(life)?.inFlight ?? 0,
    estimate,
    slowness: life => records.get(life)?.slowness ?? 1,
    failureShare: life => records.get(life)?.failures ?? 0,
    avoidUntilMs: life => records.get(life)?.avoidUntilMs ?? -Infinity,
    isReturning: (life, nowMs) =>
      nowMs < (records.get(life)?.returningUntilMs ?? -Infinity),
    sent: life => {
      recordOf(life).inFlight += 1;
    },
    ended: life => {
      const record = records.get(life);
      if (record) {
        record.inFlight = Math.max(0, record.inFlight - 1);
      }
    },
    reported,
    wasFull,
    answered,
    delayMs,
    delayed,
    failed: life => {
      const record = recordOf(life);
      record.failures += (1 - record.failures) * SAMPLE_WEIGHT;
    },
    unreachable,
    forget: life => {
      records.delete(life);
    },
  };
}
