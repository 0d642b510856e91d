/**
 * What targets say of their own availability: that they are leaving, or that
 * they want no requests for a while. What this VM hears from a target itself,
 * or from the platform's list, binds it; a report of another VM is only a
 * reason to look elsewhere first, so that a wrong one cannot empty a pool.
 *
 * A target that is leaving never comes back: its mark ends with its
 * incarnation. Times are on the local monotonic clock.
 */
import type {RegisteredTarget} from '../fleet_targets/index.js';
import {
  RESUME_SPAN_MS,
  resumeAllowance,
  resumeDelayMs,
} from './resume_allowance.js';

export type Availability =
  | 'open'
  /** Another VM reports that it is leaving: other targets are preferred. */
  | 'discouraged'
  /** Its pause has ended; it takes a few requests, and then more. */
  | 'resuming'
  | 'pausing'
  | 'leaving';

/** A target is leaving, as one VM tells it to another. */
export interface LeavingReport {
  readonly incarnation: string;
  /** Time since the target said so. */
  readonly ageMs: number;
}

export interface PauseChange {
  /** Time until the pause ends. */
  readonly pauseMs: number;
}

export interface StatedAvailability {
  availability(incarnation: string, nowMs: number): Availability;
  isLeaving(incarnation: string): boolean;
  /** Whether no target is leaving, pausing or resuming. */
  isUnrestricted(): boolean;
  /** Whether this VM may choose the target for a request now. */
  allows(incarnation: string, nowMs: number): boolean;
  /** Time until the pause ends; 0 without one. */
  pauseLeftMs(incarnation: string, nowMs: number): number;
  /**
   * The target says in an answer that it is leaving. Returns false if this is
   * known already.
   */
  recordLeaving(incarnation: string, nowMs: number): boolean;
  /**
   * The platform's list says that the target is leaving. Returns false if this
   * is known already.
   */
  recordListedLeaving(incarnation: string, nowMs: number): boolean;
  /** Returns false if it changes nothing. */
  recordReport(report: LeavingReport, nowMs: number): boolean;
  /**
   * The target asks for a pause from now on. Returns undefined if this changes
   * the end of a known pause by little or not at all.
   */
  recordPause(
    target: RegisteredTarget,
    pauseMs: number,
    nowMs: number,
  ): PauseChange | undefined;
  recordSent(incarnation: string, nowMs: number): void;
  /** The target has served a request and does not say that it is leaving. */
  recordServed(incarnation: string, nowMs: number): void;
  /** Targets of which this VM itself knows that they are leaving. */
  leaving(): readonly string[];
  pausing(nowMs: number): readonly string[];
  /** What this VM heard from targets, for a VM that has just connected. */
  reports(nowMs: number): readonly LeavingReport[];
  /** What this VM heard from targets since the last call. */
  takeNews(nowMs: number): readonly LeavingReport[];
  /** @param others Identifiers of the other VMs that use the targets. */
  setVms(others: readonly string[]): void;
  /**
   * Forgets what is over; returns the targets that take all requests again.
   *
   * @param isListed Whether the platform lists the incarnation.
   */
  expire(
    nowMs: number,
    isListed: (incarnation: string) => boolean,
  ): readonly string[];
}

/** Longer pauses end by then; the target may ask for another one. */
export const MAXIMUM_PAUSE_MS = 300_000;
/** Reports of other VMs are forgotten after this time. */
const REPORT_LIFETIME_MS = 30_000;
/**
 * Marks of targets that are no longer listed are kept for this time: the list
 * may come back from an older copy of itself.
 */
const UNLISTED_RETENTION_MS = 600_000;
/** Answers that are sent together state slightly different ends. */
const SAME_END_MS = 250;

interface LeavingMark {
  /** When the target said so; undefined if only the platform's list does. */
  readonly saidAtMs: number | undefined;
  isNews: boolean;
  listedAtMs: number;
}

interface Pause {
  readonly endsAtMs: number;
  /** When this VM begins to use the target again. */
  readonly beginsAtMs: number;
  sent: number;
  answered: number;
}

export function createStatedAvailability(vm: string): StatedAvailability {
  const marks = new Map<string, LeavingMark>();
  /** When targets said that they are leaving, as reported by other VMs. */
  const reportedAtMs = new Map<string, number>();
  const pauses = new Map<string, Pause>();
  let vms: readonly string[] = [vm];

  function availability(incarnation: string, nowMs: number): Availability {
    if (marks.has(incarnation)) {
      return 'leaving';
    }
    const pause = pauses.get(incarnation);
    if (pause && nowMs < pause.endsAtMs) {
      return 'pausing';
    }
    if (pause && !isResumed(pause, nowMs)) {
      return 'resuming';
    }
    return isReported(incarnation, nowMs) ? 'discouraged' : 'open';
  }

  function isReported(incarnation: string, nowMs: number): boolean {
    const saidAtMs = reportedAtMs.get(incarnation) ?? -Infinity;
    return nowMs - saidAtMs < REPORT_LIFETIME_MS;
  }

  function allows(incarnation: string, nowMs: number): boolean {
    const state = availability(incarnation, nowMs);
    switch (state) {
      case 'open':
      case 'discouraged':
        return true;
      case 'resuming': {
        const pause = pauses.get(incarnation);
        return pause === undefined || pause.sent < allowanceOf(pause, nowMs);
      }
      case 'pausing':
      case 'leaving':
        return false;
    }
  }

  function recordLeaving(incarnation: string, nowMs: number): boolean {
    const known = marks.get(incarnation);
    if (known?.saidAtMs !== undefined) {
      return false;
    }
    marks.set(incarnation, {saidAtMs: nowMs, isNews: true, listedAtMs: nowMs});
    return true;
  }

  function recordListedLeaving(incarnation: string, nowMs: number): boolean {
    if (marks.has(incarnation)) {
      return false;
    }
    const mark = {saidAtMs: undefined, isNews: false, listedAtMs: nowMs};
    marks.set(incarnation, mark);
    return true;
  }

  function recordReport(
    {incarnation, ageMs}: LeavingReport,
    nowMs: number,
  ): boolean {
    const saidAtMs = nowMs - ageMs;
    const knownMs = reportedAtMs.get(incarnation) ?? -Infinity;
    if (ageMs >= REPORT_LIFETIME_MS || knownMs >= saidAtMs) {
      return false;
    }
    const wasReported = isReported(incarnation, nowMs);
    reportedAtMs.set(incarnation, saidAtMs);
    return !wasReported && !marks.has(incarnation);
  }

  function recordPause(
    {incarnation, entry}: RegisteredTarget,
    pauseMs: number,
    nowMs: number,
  ): PauseChange | undefined {
    if (!(pauseMs > 0)) {
      return undefined;
    }
    const boundedMs = Math.min(pauseMs, MAXIMUM_PAUSE_MS);
    const endsAtMs = nowMs + boundedMs;
    const known = pauses.get(incarnation);
    const knownEndMs = known?.endsAtMs ?? -Infinity;
    if (known && knownEndMs >= endsAtMs) {
      return undefined;
    }
    const delayMs = resumeDelayMs(vm, vms, {
      incarnation,
      slots: entry.slots,
    });
    pauses.set(incarnation, {
      endsAtMs,
      beginsAtMs: endsAtMs + delayMs,
      sent: 0,
      answered: 0,
    });
    const isSame = nowMs < knownEndMs && endsAtMs - knownEndMs < SAME_END_MS;
    return isSame ? undefined : {pauseMs: boundedMs};
  }

  function recordSent(incarnation: string, nowMs: number): void {
    const pause = pauses.get(incarnation);
    if (pause && nowMs >= pause.beginsAtMs) {
      pause.sent += 1;
    }
  }

  function recordServed(incarnation: string, nowMs: number): void {
    reportedAtMs.delete(incarnation);
    const pause = pauses.get(incarnation);
    if (pause && nowMs >= pause.beginsAtMs) {
      pause.answered = Math.min(pause.sent, pause.answered + 1);
    }
  }

  function reports(nowMs: number): readonly LeavingReport[] {
    const found: LeavingReport[] = [];
    for (const [incarnation, {saidAtMs}] of marks) {
      const ageMs = nowMs - (saidAtMs ?? -Infinity);
      if (ageMs < REPORT_LIFETIME_MS) {
        found.push({incarnation, ageMs});
      }
    }
    return found;
  }

  function takeNews(nowMs: number): readonly LeavingReport[] {
    const news = reports(nowMs).filter(
      ({incarnation}) => marks.get(incarnation)?.isNews,
    );
    for (const mark of marks.values()) {
      mark.isNews = false;
    }
    return news;
  }

  function expire(
    nowMs: number,
    isListed: (incarnation: string) => boolean,
  ): readonly string[] {
    for (const [incarnation, mark] of marks) {
      if (isListed(incarnation)) {
        mark.listedAtMs = nowMs;
      } else if (nowMs - mark.listedAtMs > UNLISTED_RETENTION_MS) {
        marks.delete(incarnation);
      }
    }
    for (const incarnation of [...reportedAtMs.keys()]) {
      if (!isReported(incarnation, nowMs)) {
        reportedAtMs.delete(incarnation);
      }
    }
    const resumed: string[] = [];
    for (const [incarnation, pause] of pauses) {
      if (isResumed(pause, nowMs)) {
        pauses.delete(incarnation);
        resumed.push(incarnation);
      }
    }
    return resumed;
  }

  return {
    availability,
    isLeaving: incarnation => marks.has(incarnation),
    isUnrestricted: () => marks.size === 0 && pauses.size === 0,
    allows,
    pauseLeftMs: (incarnation, nowMs) =>
      Math.max(0, (pauses.get(incarnation)?.endsAtMs ?? nowMs) - nowMs),
    recordLeaving,
    recordListedLeaving,
    recordReport,
    recordPause,
    recordSent,
    recordServed,
    leaving: () => [...marks.keys()],
    pausing: nowMs => {
      const found: string[] = [];
      for (const [incarnation, {endsAtMs}] of pauses) {
        if (nowMs < endsAtMs) {
          found.push(incarnation);
        }
      }
      return found;
    },
    reports,
    takeNews,
    setVms: others => {
      vms = [vm, ...others];
    },
    expire,
  };
}

function isResumed({beginsAtMs}: Pause, nowMs: number): boolean {
  return nowMs >= beginsAtMs + RESUME_SPAN_MS;
}

function allowanceOf({beginsAtMs, answered}: Pause, nowMs: number): number {
  return resumeAllowance(nowMs - beginsAtMs, answered);
}
