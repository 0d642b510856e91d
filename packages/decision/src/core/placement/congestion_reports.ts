/**
 * What this VM has to tell its peers of targets that are full. Load pattern:
 * many VMs that share many targets, so that each VM hears of a target only
 * every few seconds while its queue grows by what the others send.
 */
import type {LoadReport} from './target_load.js';

export interface CongestionReport {
  readonly incarnation: string;
  /** Requests that the target runs or has in its queue. */
  readonly load: number;
  /** Time since the target said so. */
  readonly ageMs: number;
}

export interface CongestionReports {
  /** Records the load that a target states with an answer to this VM. */
  record(incarnation: string, report: LoadReport, nowMs: number): void;
  /**
   * Returns what targets have stated since the last call, the fullest first:
   * those that are full, and those that were said to be and are not any more.
   */
  takeNews(nowMs: number): readonly CongestionReport[];
}

/** Bounds the heartbeat. */
const MAXIMUM_REPORTED = 24;
/** A target that was said to be full is told of for this long. */
const FOLLOW_UP_MS = 3_000;

interface Statement {
  readonly load: number;
  readonly atMs: number;
}

export function createCongestionReports(): CongestionReports {
  const news = new Map<string, Statement>();
  /** When a target was said to be full last. */
  const saidFullAtMs = new Map<string, number>();

  return {
    record: (incarnation, {running, waiting, slots}, nowMs) => {
      const load = running + waiting;
      if (load >= slots || saidFullAtMs.has(incarnation)) {
        news.set(incarnation, {load, atMs: nowMs});
      }
      if (load >= slots) {
        saidFullAtMs.set(incarnation, nowMs);
      }
    },
    takeNews: nowMs => {
      for (const [incarnation, atMs] of saidFullAtMs) {
        if (nowMs - atMs > FOLLOW_UP_MS) {
          saidFullAtMs.delete(incarnation);
        }
      }
      const reports: CongestionReport[] = [];
      for (const [incarnation, {load, atMs}] of news) {
        reports.push({incarnation, load, ageMs: nowMs - atMs});
      }
      news.clear();
      reports.sort((one, other) => other.load - one.load);
      return reports.slice(0, MAXIMUM_REPORTED);
    },
  };
}
