/** What callers and targets observed in a soak. */
import type {
  CrashingArrival,
  LeavingStatement,
  LimitStatement,
  PauseStatement,
  TargetArrival,
} from '@ibisbeam/stand-ins';
import type {Disruption} from './disruptions.js';

export interface CallRecord {
  readonly attemptId: string;
  /**
   * Attempt identifier of the first request without an answer on its connection,
   * if that is another one.
   */
  readonly behind?: string | undefined;
  readonly idempotent: boolean;
  readonly vm: string;
  /** The caller closed its connection before it got a response. */
  readonly hasLeft: boolean;
  readonly sentMs: number;
  /** When all of it had been written, if that is known. */
  readonly writtenMs?: number | undefined;
  readonly endedMs: number;
  /** 0 if the connection ended without a response, or within it. */
  readonly status: number;
  /** Whether the head of a response was received. */
  readonly hasBegun: boolean;
  /** Whether the response was complete. */
  readonly whole: boolean;
  /** Seal header of the response, which names the target and the attempt. */
  readonly seal: string | undefined;
  /** Whether it crashes each target that runs it. */
  readonly isCrashing: boolean;
  /** Whether it was refused as a request that crashed targets. */
  readonly isQuarantined: boolean;
}

/** A request that crashes targets, at one of them. */
export interface CrashingRun extends CrashingArrival {
  readonly attemptId: string;
}

export interface RunRecord {
  readonly attemptId: string;
  readonly target: string;
  readonly atMs: number;
  /** Whether the target spoiled the answer on purpose. */
  readonly isSpoiled: boolean;
  /** Whether the target sent bytes without end in place of the answer. */
  readonly isEndless: boolean;
}

export interface Departure {
  readonly target: string;
  /** When the store accepted the target's draining state. */
  readonly atMs: number;
}

/** Home regions of the idempotent route from `atMs` on; empty for none. */
export interface HomesChange {
  /** When the store accepted the configuration first. */
  readonly atMs: number;
  /**
   * Time by which it was written again, if a restore of the store lost it.
   * VMs that heard of it before may go by it, the others not yet.
   */
  readonly rewrittenAtMs?: number;
  readonly regions: readonly string[];
}

/** Period in which a target stated a rate limit. */
export interface LimitedPeriod {
  readonly target: string;
  readonly arrivals: readonly TargetArrival[];
  readonly statements: readonly LimitStatement[];
}

/** What a target said of itself, and what reached it. */
export interface TargetRecord {
  readonly target: string;
  readonly arrivals: readonly TargetArrival[];
  /** Answers that said that the target is leaving. */
  readonly leavingStatements: readonly LeavingStatement[];
  /** Refusals that asked for a pause. */
  readonly pauseStatements: readonly PauseStatement[];
}

/** A gateway, over all starts of its process. */
export interface ProcessRecord {
  readonly vm: string;
  /** Ends that the soak did not ask for. */
  readonly unexpectedExits: number;
  /** Highest resident memory; 0 where the system does not tell. */
  readonly peakMegabytes: number;
}

export interface Observations {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly disruptions: readonly Disruption[];
  readonly departures: readonly Departure[];
  readonly homesChanges: readonly HomesChange[];
  /** Region of each target. */
  readonly targetRegions: ReadonlyMap<string, string>;
  readonly limitedPeriods: readonly LimitedPeriod[];
  readonly targetRecords: readonly TargetRecord[];
  readonly crashingRuns: readonly CrashingRun[];
  /** When targets died, by target. */
  readonly targetDeaths: ReadonlyMap<string, number>;
  readonly processes: readonly ProcessRecord[];
}

export interface Violation {
  readonly invariant: string;
  readonly detail: string;
}
