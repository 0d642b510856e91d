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
  inFlight(incarnation: string): number;
  /** Requests at the target, of this VM and, by its reports, of others. */
  estimatedInFlight(incarnation: string, nowMs: number): number;
  /** How many times slower than its service's usual pace; 1 if unknown. */
  slowdown(incarnation: string): number;
  /**
   * How much longer answers have taken of late than was expected, in
   * milliseconds; loses weight with its age.
   */
  delayMs(incarnation: string, nowMs: number): number;
  /** Share of recent requests that the target failed, 0 to 1. */
  failureRate(incarnation: string): number;
  /** No new requests before this moment. */
  backoffUntilMs(incarnation: string): number;
  /** True for a while after the target failed to take a connection. */
  isRecovering(incarnation: string, nowMs: number): boolean;
  sent(incarnation: string): void;
  /** An attempt has ended, in whatever way. */
  ended(incarnation: string): void;
  reported(incarnation: string, report: LoadReport, nowMs: number): void;
  /**
   * The target refused a request as one too many.
   *
   * @returns False if it had room by all that is known: it fails.
   */
  overloaded(incarnation: string, slots: number, nowMs: number): boolean;
  /**
   * @param ratio Time taken against the time expected of an idle target;
   *     absent if the target may have had a queue.
   */
  answered(incarnation: string, ratio: number | undefined): void;
  /** @param tookMs Time taken beyond what was expected, or less than 0. */
  delayed(incarnation: string, tookMs: number, nowMs: number): void;
  failed(incarnation: string): void;
  /** The target did not take a connection, or broke one off. */
  unreachable(incarnation: string, nowMs: number): void;
  remove(incarnation: string): void;
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
const INITIAL_BACKOFF_MS = 200;
const MAXIMUM_BACKOFF_MS = 1_600;
/** A target that refused connections is taken for freshly started so long. */
const RECOVERY_MS = 4_000;
/**
 * What others send shows late in reports, so that a queue is longer than it
 * looks; answers tell, and a queue changes within about this time.
 */
const DELAY_DECAY_TIME_MS = 1_000;
/** One answer counts for no more delay than this. */
const MAXIMUM_DELAY_SAMPLE_MS = 2_000;
/** Slowness is kept in these bounds, so that one sample cannot exile. */
const MINIMUM_SLOWDOWN = 0.5;
const MAXIMUM_SLOWDOWN = 20;

interface LoadRecord {
  inFlight: number;
  otherInFlight: number;
  reportedAtMs: number;
  slowdown: number;
  delayMs: number;
  delayedAtMs: number;
  failures: number;
  connectFailures: number;
  backoffUntilMs: number;
  recoveringUntilMs: number;
}

export function createTargetLoad(): TargetLoad {
  const records = new Map<string, LoadRecord>();

  function recordOf(incarnation: string): LoadRecord {
    const known = records.get(incarnation);
    if (known) {
      return known;
    }
    const record: LoadRecord = {
      inFlight: 0,
      otherInFlight: 0,
      reportedAtMs: -Infinity,
      slowdown: 1,
      delayMs: 0,
      delayedAtMs: -Infinity,
      failures: 0,
      connectFailures: 0,
      backoffUntilMs: -Infinity,
      recoveringUntilMs: -Infinity,
    };
    records.set(incarnation, record);
    return record;
  }

  function estimatedInFlight(incarnation: string, nowMs: number): number {
    const record = records.get(incarnation);
    if (!record) {
      return 0;
    }
    const isFresh = nowMs - record.reportedAtMs < REPORT_LIFETIME_MS;
    return record.inFlight + (isFresh ? record.otherInFlight : 0);
  }

  function reported(
    incarnation: string,
    report: LoadReport,
    nowMs: number,
  ): void {
    const record = recordOf(incarnation);
    // The answered request still counts as in flight here, not at the target.
    const own = Math.max(0, record.inFlight - 1);
    const others = Math.max(0, report.running + report.waiting - own);
    const isFresh = nowMs - record.reportedAtMs < REPORT_LIFETIME_MS;
    const before = isFresh ? record.otherInFlight : others;
    record.otherInFlight = before + (others - before) * REPORT_WEIGHT;
    record.reportedAtMs = nowMs;
  }

  function overloaded(
    incarnation: string,
    slots: number,
    nowMs: number,
  ): boolean {
    const record = recordOf(incarnation);
    const hadRoom = estimatedInFlight(incarnation, nowMs) < slots;
    const isReported = nowMs - record.reportedAtMs < REPORT_LIFETIME_MS;
    if (hadRoom && isReported) {
      return false;
    }
    record.otherInFlight = Math.max(
      record.otherInFlight,
      slots * FULL_LOAD_FACTOR,
    );
    record.reportedAtMs = nowMs;
    return true;
  }

  function answered(incarnation: string, ratio: number | undefined): void {
    const record = recordOf(incarnation);
    if (ratio !== undefined) {
      const sample = Math.min(
        MAXIMUM_SLOWDOWN,
        Math.max(MINIMUM_SLOWDOWN, ratio),
      );
      record.slowdown += (sample - record.slowdown) * SAMPLE_WEIGHT;
    }
    record.failures -= record.failures * SAMPLE_WEIGHT;
    record.connectFailures = 0;
  }

  function delayMs(incarnation: string, nowMs: number): number {
    const record = records.get(incarnation);
    if (!record) {
      return 0;
    }
    const ageMs = nowMs - record.delayedAtMs;
    return Math.max(0, record.delayMs) * Math.exp(-ageMs / DELAY_DECAY_TIME_MS);
  }

  function delayed(incarnation: string, tookMs: number, nowMs: number): void {
    const record = recordOf(incarnation);
    const sample = Math.min(MAXIMUM_DELAY_SAMPLE_MS, tookMs);
    const ageMs = nowMs - record.delayedAtMs;
    const before = record.delayMs * Math.exp(-ageMs / DELAY_DECAY_TIME_MS);
    record.delayMs = before + (sample - before) * SAMPLE_WEIGHT;
    record.delayedAtMs = nowMs;
  }

  function unreachable(incarnation: string, nowMs: number): void {
    const record = recordOf(incarnation);
    const pauseMs = Math.min(
      MAXIMUM_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** record.connectFailures,
    );
    record.connectFailures += 1;
    record.backoffUntilMs = Math.max(record.backoffUntilMs, nowMs + pauseMs);
    record.recoveringUntilMs = record.backoffUntilMs + RECOVERY_MS;
  }

  return {
    inFlight: incarnation => records.get(incarnation)?.inFlight ?? 0,
    estimatedInFlight,
    slowdown: incarnation => records.get(incarnation)?.slowdown ?? 1,
    failureRate: incarnation => records.get(incarnation)?.failures ?? 0,
    backoffUntilMs: incarnation =>
      records.get(incarnation)?.backoffUntilMs ?? -Infinity,
    isRecovering: (incarnation, nowMs) =>
      nowMs < (records.get(incarnation)?.recoveringUntilMs ?? -Infinity),
    sent: incarnation => {
      recordOf(incarnation).inFlight += 1;
    },
    ended: incarnation => {
      const record = records.get(incarnation);
      if (record) {
        record.inFlight = Math.max(0, record.inFlight - 1);
      }
    },
    reported,
    overloaded,
    answered,
    delayMs,
    delayed,
    failed: incarnation => {
      const record = recordOf(incarnation);
      record.failures += (1 - record.failures) * SAMPLE_WEIGHT;
    },
    unreachable,
    remove: incarnation => {
      records.delete(incarnation);
    },
  };
}
