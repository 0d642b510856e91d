/**
 * Load and health of each target as observed by one VM: its own requests in
 * flight, the load reported with responses, response times and failures.
 */
import type {RegisteredTarget} from '../fleet_targets/index.js';
import {type SampleAging, weightAtAge} from '../averages/index.js';

/** Load that a target reports with a response. */
export interface LoadReport {
  /** Requests that the target is executing. */
  readonly running: number;
  /** Requests in the target's queue. */
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes on the target's machine at this moment, relative to
   * the usual time; absent if the target does not tell.
   */
  readonly workTimeRatio?: number;
}

export interface TargetLoad {
  /** Requests of this VM that the target has not answered. */
  inFlight(incarnation: string): number;
  /** Requests at the target: those of this VM plus reported ones of others. */
  estimatedInFlight(incarnation: string, nowMs: number): number;
  /**
   * How much longer than usual work takes at the target's machine at this
   * moment, as it last said; nears 1 as that gets old, and never goes below.
   */
  momentarySlowdown(incarnation: string, nowMs: number): number;
  /** Whether what the target or a peer said of its load still holds. */
  isReported(incarnation: string, nowMs: number): boolean;
  /**
   * The target's service time divided by the expected one; 1 if unknown. Nears
   * 1 while there are no samples, until a request is sent to find out.
   */
  slowdown(incarnation: string, nowMs: number): number;
  /**
   * Moving average of the time by which responses took longer than expected, in
   * milliseconds; decays if there are no new samples.
   */
  delayMs(incarnation: string, nowMs: number): number;
  /**
   * Fraction of recent requests that the target failed, 0 to 1. Nears 0 while
   * there are no samples, until a request is sent to find out.
   */
  failureRate(incarnation: string, nowMs: number): number;
  /** Time before which the target gets no new requests. */
  backoffUntilMs(incarnation: string): number;
  /** Whether the target refused a connection recently. */
  isRecovering(incarnation: string, nowMs: number): boolean;
  /** Records that a request was sent; `recordEnd` must follow. */
  recordSent(incarnation: string): void;
  /** Records the end of an attempt, whatever its outcome. */
  recordEnd(incarnation: string): void;
  /** Records the load that the target reported with a response. */
  recordReport(incarnation: string, report: LoadReport, nowMs: number): void;
  /**
   * Records the load that a full target reported to a peer.
   *
   * @param load Requests that it ran or had in its queue.
   * @param atMs When it said so.
   */
  recordPeerReport(incarnation: string, load: number, atMs: number): void;
  /**
   * Records that the target refused a request because its queue is full.
   *
   * @returns False if a recent report shows free slots. The caller should then
   *     record a failure instead.
   */
  recordOverload(incarnation: string, slots: number, nowMs: number): boolean;
  /**
   * Records a successful response.
   *
   * @param ratio Time taken divided by the time expected at an idle target;
   *     undefined if the request may have been queued at the target.
   */
  recordResponse(
    incarnation: string,
    ratio: number | undefined,
    nowMs: number,
  ): void;
  /** @param excessMs Time taken minus time expected; may be negative. */
  recordDelay(incarnation: string, excessMs: number, nowMs: number): void;
  /** Records an attempt that failed because of the target. */
  recordFailure(incarnation: string, nowMs: number): void;
  /** Records that the target refused or dropped a connection. */
  recordConnectionFailure(incarnation: string, nowMs: number): void;
  /**
   * Forgets the failures of targets that had none before `sinceMs`: they were
   * this VM's.
   */
  forgetFailures(sinceMs: number): void;
  remove(incarnation: string): void;
}

/** Weight of the newest sample in moving averages. */
const SAMPLE_WEIGHT = 0.2;
/**
 * A target that is avoided for its past answers brings no new ones. They lose
 * their weight after this time, so that a request tries the target again.
 */
const AVOIDANCE_AGING: SampleAging = {freshMs: 2_000, decayMs: 2_000};
/** Weight of the newest report; a single one may not be representative. */
const REPORT_WEIGHT = 0.5;
/** Machines that targets share get faster or slower within about this time. */
const WORK_TIME_LIFETIME_MS = 500;
/** Older reports are ignored. */
const REPORT_LIFETIME_MS = 500;
/**
 * A queue that a peer has told of is there until some requests have ended. The
 * peers that get answers from the target follow its load.
 */
const PEER_REPORT_LIFETIME_MS = 1_500;
/** Bounds what peers may make this VM remember. */
const MAXIMUM_RECORDS = 20_000;
/** Requests assumed at an overloaded target, as a multiple of its slots. */
const OVERLOAD_FACTOR = 2;
/** Back-off after a failed connection; doubles with each further failure. */
const INITIAL_BACKOFF_MS = 200;
const MAXIMUM_BACKOFF_MS = 1_600;
/** Time after the back-off for which the target is treated as cold. */
const RECOVERY_MS = 4_000;
/**
 * Time constant of the delay average. Reports show the requests of other VMs
 * too late, so a queue may be longer than estimated; response times reveal it.
 * A queue changes within about this time.
 */
const DELAY_DECAY_TIME_MS = 1_000;
/** Upper bound of a single delay sample. */
const MAXIMUM_DELAY_SAMPLE_MS = 2_000;
/** Bounds of a slowdown sample, so that one sample cannot exclude a target. */
const MINIMUM_SLOWDOWN = 0.5;
const MAXIMUM_SLOWDOWN = 20;

interface LoadRecord {
  inFlight: number;
  workTimeRatio: number;
  workTimeAtMs: number;
  otherInFlight: number;
  reportedAtMs: number;
  reportLifetimeMs: number;
  slowdown: number;
  /** Undefined before the first sample. */
  slowdownAtMs: number | undefined;
  delayMs: number;
  delayedAtMs: number;
  failures: number;
  /** Undefined before the first sample. */
  failuresAtMs: number | undefined;
  connectFailures: number;
  /** Time of the first failed connection since the target was well. */
  failingSinceMs: number | undefined;
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
      workTimeRatio: 1,
      workTimeAtMs: -Infinity,
      otherInFlight: 0,
      reportedAtMs: -Infinity,
      reportLifetimeMs: REPORT_LIFETIME_MS,
      slowdown: 1,
      slowdownAtMs: undefined,
      delayMs: 0,
      delayedAtMs: -Infinity,
      failures: 0,
      failuresAtMs: undefined,
      connectFailures: 0,
      failingSinceMs: undefined,
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
    const isFresh = hasFreshReport(record, nowMs);
    return record.inFlight + (isFresh ? record.otherInFlight : 0);
  }

  function recordReport(
    incarnation: string,
    report: LoadReport,
    nowMs: number,
  ): void {
    const record = recordOf(incarnation);
    // The answered request still counts as in flight here, but not in the
    // target's report.
    const own = Math.max(0, record.inFlight - 1);
    const others = Math.max(0, report.running + report.waiting - own);
    const before = hasFreshReport(record, nowMs)
      ? record.otherInFlight
      : others;
    record.otherInFlight = before + (others - before) * REPORT_WEIGHT;
    record.reportedAtMs = nowMs;
    record.reportLifetimeMs = REPORT_LIFETIME_MS;
    if (report.workTimeRatio !== undefined) {
      record.workTimeRatio = Math.max(1, report.workTimeRatio);
      record.workTimeAtMs = nowMs;
    }
  }

  function momentarySlowdown(incarnation: string, nowMs: number): number {
    const record = records.get(incarnation);
    if (!record) {
      return 1;
    }
    const ageMs = nowMs - record.workTimeAtMs;
    const weight = Math.max(0, 1 - ageMs / WORK_TIME_LIFETIME_MS);
    return 1 + (record.workTimeRatio - 1) * weight;
  }

  function recordPeerReport(
    incarnation: string,
    load: number,
    atMs: number,
  ): void {
    if (!records.has(incarnation) && records.size >= MAXIMUM_RECORDS) {
      return;
    }
    const record = recordOf(incarnation);
    if (atMs > record.reportedAtMs) {
      record.otherInFlight = Math.max(0, load - record.inFlight);
      record.reportedAtMs = atMs;
      record.reportLifetimeMs = PEER_REPORT_LIFETIME_MS;
    }
  }

  function recordOverload(
    incarnation: string,
    slots: number,
    nowMs: number,
  ): boolean {
    const record = recordOf(incarnation);
    const hadRoom = estimatedInFlight(incarnation, nowMs) < slots;
    const isReported = hasFreshReport(record, nowMs);
    if (hadRoom && isReported) {
      return false;
    }
    record.otherInFlight = Math.max(
      record.otherInFlight,
      slots * OVERLOAD_FACTOR,
    );
    record.reportedAtMs = nowMs;
    return true;
  }

  function recordResponse(
    incarnation: string,
    ratio: number | undefined,
    nowMs: number,
  ): void {
    const record = recordOf(incarnation);
    if (ratio !== undefined) {
      const sample = Math.min(
        MAXIMUM_SLOWDOWN,
        Math.max(MINIMUM_SLOWDOWN, ratio),
      );
      // Only what keeps requests away has lost weight with time.
      const isRelief = record.slowdown > 1 && sample < record.slowdown;
      const weight = isRelief
        ? weightOfNext(record.slowdownAtMs, nowMs)
        : SAMPLE_WEIGHT;
      record.slowdown += (sample - record.slowdown) * weight;
      record.slowdownAtMs = nowMs;
    }
    record.failures -=
      record.failures * weightOfNext(record.failuresAtMs, nowMs);
    record.failuresAtMs = nowMs;
    record.connectFailures = 0;
  }

  function recordFailure(incarnation: string, nowMs: number): void {
    const record = recordOf(incarnation);
    record.failures += (1 - record.failures) * SAMPLE_WEIGHT;
    record.failuresAtMs = nowMs;
  }

  function slowdown(incarnation: string, nowMs: number): number {
    const record = records.get(incarnation);
    if (!record || record.slowdown <= 1) {
      return record?.slowdown ?? 1;
    }
    const weight = weightOfPast(record, record.slowdownAtMs, nowMs);
    return 1 + (record.slowdown - 1) * weight;
  }

  function failureRate(incarnation: string, nowMs: number): number {
    const record = records.get(incarnation);
    if (!record) {
      return 0;
    }
    return record.failures * weightOfPast(record, record.failuresAtMs, nowMs);
  }

  function delayMs(incarnation: string, nowMs: number): number {
    const record = records.get(incarnation);
    if (!record) {
      return 0;
    }
    const ageMs = nowMs - record.delayedAtMs;
    return Math.max(0, record.delayMs) * Math.exp(-ageMs / DELAY_DECAY_TIME_MS);
  }

  function recordDelay(
    incarnation: string,
    excessMs: number,
    nowMs: number,
  ): void {
    const record = recordOf(incarnation);
    const sample = Math.min(MAXIMUM_DELAY_SAMPLE_MS, excessMs);
    const ageMs = nowMs - record.delayedAtMs;
    const before = record.delayMs * Math.exp(-ageMs / DELAY_DECAY_TIME_MS);
    record.delayMs = before + (sample - before) * SAMPLE_WEIGHT;
    record.delayedAtMs = nowMs;
  }

  function recordConnectionFailure(incarnation: string, nowMs: number): void {
    const record = recordOf(incarnation);
    const pauseMs = Math.min(
      MAXIMUM_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** record.connectFailures,
    );
    if (record.connectFailures === 0 && nowMs >= record.recoveringUntilMs) {
      record.failingSinceMs = nowMs;
    }
    record.connectFailures += 1;
    record.backoffUntilMs = Math.max(record.backoffUntilMs, nowMs + pauseMs);
    record.recoveringUntilMs = record.backoffUntilMs + RECOVERY_MS;
  }

  function forgetFailures(sinceMs: number): void {
    for (const record of records.values()) {
      const {failingSinceMs} = record;
      if (failingSinceMs !== undefined && failingSinceMs >= sinceMs) {
        record.failures = 0;
        record.connectFailures = 0;
        record.failingSinceMs = undefined;
        record.backoffUntilMs = -Infinity;
        record.recoveringUntilMs = -Infinity;
      }
    }
  }

  return {
    inFlight: incarnation => records.get(incarnation)?.inFlight ?? 0,
    estimatedInFlight,
    momentarySlowdown,
    isReported: (incarnation, nowMs) => {
      const record = records.get(incarnation);
      return record !== undefined && hasFreshReport(record, nowMs);
    },
    slowdown,
    failureRate,
    backoffUntilMs: incarnation =>
      records.get(incarnation)?.backoffUntilMs ?? -Infinity,
    isRecovering: (incarnation, nowMs) =>
      nowMs < (records.get(incarnation)?.recoveringUntilMs ?? -Infinity),
    recordSent: incarnation => {
      recordOf(incarnation).inFlight += 1;
    },
    recordEnd: incarnation => {
      const record = records.get(incarnation);
      if (record) {
        record.inFlight = Math.max(0, record.inFlight - 1);
      }
    },
    recordReport,
    recordPeerReport,
    recordOverload,
    recordResponse,
    delayMs,
    recordDelay,
    recordFailure,
    recordConnectionFailure,
    forgetFailures,
    remove: incarnation => {
      records.delete(incarnation);
    },
  };
}

/** Slots that are estimated to be free at the targets. */
export function freeSlots(
  targets: readonly RegisteredTarget[],
  load: Pick<TargetLoad, 'estimatedInFlight'>,
  nowMs: number,
): number {
  let free = 0;
  for (const {incarnation, entry} of targets) {
    const inFlight = load.estimatedInFlight(incarnation, nowMs);
    free += Math.max(0, entry.slots - inFlight);
  }
  return free;
}

/** While the target has a request, its answer decides. */
function weightOfPast(
  {inFlight}: LoadRecord,
  sampledAtMs: number | undefined,
  nowMs: number,
): number {
  if (sampledAtMs === undefined || inFlight > 0) {
    return 1;
  }
  return weightAtAge(AVOIDANCE_AGING, sampledAtMs, nowMs);
}

/** Weight of a sample after the one at `sampledAtMs`. */
function weightOfNext(sampledAtMs: number | undefined, nowMs: number): number {
  if (sampledAtMs === undefined) {
    return SAMPLE_WEIGHT;
  }
  const past = weightAtAge(AVOIDANCE_AGING, sampledAtMs, nowMs);
  return Math.max(SAMPLE_WEIGHT, 1 - past);
}

function hasFreshReport(
  {reportedAtMs, reportLifetimeMs}: LoadRecord,
  nowMs: number,
): boolean {
  return nowMs - reportedAtMs < reportLifetimeMs;
}
