/**
 * The trace of a run: what callers, entry VMs and targets did, seen from
 * outside the system. Times are milliseconds on one clock for the whole run.
 */
import type {
  Generation,
  Outcome,
  RefusalReason,
  RegionName,
  RequestId,
  ServiceName,
  TargetId,
  VmId,
} from '@ibisbeam/decision';

/** What a caller wants done; equal for every resend of it. */
export type OperationId = string;

/** How a request ended for its caller. */
export type RequestEnd =
  | {
      readonly kind: 'answered';
      /** The request that the answer belongs to. */
      readonly answerTo: RequestId;
      /** Whether the caller holds every byte of the answer. */
      readonly whole: boolean;
    }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly outcome: Outcome;
    }
  /** The connection broke or the caller stopped waiting. */
  | {readonly kind: 'no-answer'};

export type TraceEvent =
  | {
      readonly kind: 'request-sent';
      readonly atMs: number;
      readonly request: RequestId;
      readonly operation: OperationId;
      readonly service: ServiceName;
      readonly homeRegion: RegionName;
      readonly cohort: number;
      readonly idempotent: boolean;
      /** Whether this is the first request for the operation. */
      readonly first: boolean;
    }
  | {
      readonly kind: 'request-ended';
      readonly atMs: number;
      readonly request: RequestId;
      readonly end: RequestEnd;
    }
  /** An entry VM decided to send; the first byte follows. */
  | {
      readonly kind: 'attempt-sent';
      readonly atMs: number;
      readonly vm: VmId;
      readonly request: RequestId;
      readonly target: TargetId;
    }
  /** The request occupies the target: it runs there or waits there. */
  | {
      readonly kind: 'target-entered';
      readonly atMs: number;
      readonly target: TargetId;
      readonly request: RequestId;
    }
  | {
      readonly kind: 'target-left';
      readonly atMs: number;
      readonly target: TargetId;
      readonly request: RequestId;
    }
  /** The target began to work on it. */
  | {
      readonly kind: 'run-started';
      readonly atMs: number;
      readonly target: TargetId;
      readonly request: RequestId;
    }
  | {
      readonly kind: 'target-lost';
      readonly atMs: number;
      readonly target: TargetId;
      /** The request whose work brought it down, if one did. */
      readonly fingerprint?: string;
    }
  /** First moment at which an entry VM could know that it leaves. */
  | {
      readonly kind: 'leaving-signed';
      readonly atMs: number;
      readonly target: TargetId;
    }
  | {
      readonly kind: 'leaving-ended';
      readonly atMs: number;
      readonly target: TargetId;
    }
  /** What all flows of the system take on a link between two regions. */
  | {
      readonly kind: 'link-rate';
      readonly atMs: number;
      readonly from: RegionName;
      readonly to: RegionName;
      readonly bitsPerSecond: number;
    }
  | {readonly kind: 'stop-began'; readonly atMs: number; readonly vm: VmId}
  /** A request in flight was cut because its VM went. */
  | {
      readonly kind: 'request-cut';
      readonly atMs: number;
      readonly vm: VmId;
      readonly request: RequestId;
      readonly cause: 'stop' | 'crash';
    }
  | {
      readonly kind: 'configuration-accepted';
      readonly atMs: number;
      readonly generation: Generation;
    }
  | {
      readonly kind: 'configuration-in-force';
      readonly atMs: number;
      readonly vm: VmId;
      readonly generation: Generation;
    }
  /** From here on the VM is not expected to follow configurations. */
  | {readonly kind: 'vm-lost'; readonly atMs: number; readonly vm: VmId};

/** What the run was set up with. */
export interface TraceSetup {
  readonly targets: ReadonlyMap<TargetId, TracedTarget>;
  readonly links: readonly {
    readonly from: RegionName;
    readonly to: RegionName;
    /** Link rate times the fraction that the system may fill. */
    readonly usableBitsPerSecond: number;
  }[];
  readonly shiftCaps: ReadonlyMap<ServiceName, ShiftCap>;
  /** Cohorts of client blocks in each region. */
  readonly cohorts: number;
}

export interface TracedTarget {
  readonly service: ServiceName;
  readonly region: RegionName;
  readonly slots: number;
}

export interface ShiftCap {
  /** Largest fraction of a region's cohorts that may move per interval. */
  readonly capFraction: number;
  readonly intervalMs: number;
}

export interface Trace {
  readonly setup: TraceSetup;
  /** In order of time. */
  readonly events: readonly TraceEvent[];
}

export type CheckName =
  | 'overload'
  | 'shift-cap'
  | 'shift-progress'
  | 'link-budget'
  | 'truthful-refusal'
  | 'at-most-once'
  | 'own-whole-answer'
  | 'leaving-target'
  | 'graceful-stop'
  | 'configuration'
  | 'crashing-request'
  | 'amplification';

export interface Violation {
  readonly check: CheckName;
  readonly atMs: number;
  /** Target, region, request or VM that the violation is about. */
  readonly subject: string;
  readonly detail: string;
  /** How long the promise was broken, where that has a length. */
  readonly durationMs?: number;
}

export type Check = (trace: Trace) => readonly Violation[];
