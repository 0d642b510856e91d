/** Types of the stand-in target and its injectable faults. */

/** A fault stays active until it is reset; counters run down to 0. */
export interface TargetFaults {
  /** Delay added to each response. */
  delayMs: number;
  /** Number of next responses whose connection closes after half the body. */
  closeMidBody: number;
  /** Number of next requests that run but whose connection closes unanswered. */
  closeBeforeAnswer: number;
  /** Refuses every request with 503 and outcome `not-run`. */
  shed: boolean;
  /** Announces that it leaves, in health checks and in every response. */
  leaving: boolean;
  /** Requests wait before their response until `release` is called. */
  hold: boolean;
  /** In-flight count to report in health checks instead of the actual one. */
  reportedInFlight: number | undefined;
  /** Request identifier to return instead of the request's own. */
  echoedRequestId: string | undefined;
  /** A request whose path contains this text crashes the target. */
  crashOnPath: string | undefined;
  /** Headers added to each response. */
  extraHeaders: Readonly<Record<string, string>>;
  /**
   * Writes this in place of an answer and keeps the connection open; `REQUEST`
   * in it stands for the identifier of the request.
   */
  rawAnswer: string | undefined;
}

/** Event in the life of a request at a target, recorded in traces. */
export type TargetEvent = {
  readonly kind: 'entered' | 'run-started' | 'left';
  readonly target: string;
  readonly request: string;
};
export type TargetObserver = (event: TargetEvent) => void;

export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

export interface StandInTarget {
  /** `127.0.0.1:port`; the same after a crash and a restart. */
  readonly address: string;
  readonly faults: TargetFaults;
  /** Runs per idempotency key, including those before a crash and restart. */
  runsByKey(): ReadonlyMap<string, number>;
  /** Number of requests run so far, including reads. */
  runs(): number;
  inFlight(): number;
  /** Number of requests whose connection closed before their response ended. */
  cancelled(): number;
  /** The last 100 requests, newest last. */
  received(): readonly ReceivedRequest[];
  /** Resumes the requests that wait and resets `faults.hold`. */
  release(): void;
  /** Closes all connections and stops listening, like a killed process. */
  crash(): Promise<void>;
  /** Listens again on the same port. */
  restart(): Promise<void>;
  stop(): Promise<void>;
}
