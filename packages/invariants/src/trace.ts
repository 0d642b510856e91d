/**
 * Trace of a run: what callers, entry VMs and targets did, as observed from
 * outside the system. All times are in milliseconds on one clock.
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

/** Identifies an operation; the same for all resends of a request. */
export type OperationId = string;

/** Outcome of a request as its caller saw it. */
export type RequestEnd =
  | {
      readonly kind: 'answered';
      /** The request that the response belongs to. */
      readonly answerTo: RequestId;
      /** Whether the caller received the complete response. */
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
  /** An entry VM is about to send the first byte of an attempt. */
  | {
      readonly kind: 'attempt-sent';
      readonly atMs: number;
      readonly vm: VmId;
      readonly request: RequestId;
      readonly target: TargetId;
    }
  /** The request occupies the target, either running or queued. */
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
  /** The target began to execute the request. */
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
      /** Fingerprint of the request that crashed the target, if one did. */
      readonly fingerprint?: string;
    }
  /** Earliest time at which an entry VM could know that the target leaves. */
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
  /** Total rate of the system's traffic on a link between two regions. */
  | {
      readonly kind: 'link-rate';
      readonly atMs: number;
      readonly from: RegionName;
      readonly to: RegionName;
      readonly bitsPerSecond: number;
    }
  | {readonly kind: 'stop-began'; readonly atMs: number; readonly vm: VmId}
  /** An in-flight request was aborted because its VM stopped or crashed. */
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
  /** From here on the VM is not expected to apply configurations. */
  | {readonly kind: 'vm-lost'; readonly atMs: number; readonly vm: VmId};

/** Configuration of the run that the checks depend on. */
export interface TraceSetup {
  readonly targets: ReadonlyMap<TargetId, TracedTarget>;
  readonly links: readonly {
    readonly from: RegionName;
    readonly to: RegionName;
    /** Link rate times the fraction that the system may use. */
    readonly usableBitsPerSecond: number;
  }[];
  readonly shiftCaps: ReadonlyMap<ServiceName, ShiftCap>;
  /** Number of cohorts of client blocks per region. */
  readonly cohorts: number;
}

export interface TracedTarget {
  readonly service: ServiceName;
  readonly region: RegionName;
  readonly slots: number;
}

export interface ShiftCap {
  /** Maximum fraction of a region's cohorts that may move per interval. */
  readonly capFraction: number;
  readonly intervalMs: number;
}

export interface Trace {
  readonly setup: TraceSetup;
  /** Ordered by time. */
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
  /** Duration of the violation, for checks that measure one. */
  readonly durationMs?: number;
}

export type Check = (trace: Trace) => readonly Violation[];
