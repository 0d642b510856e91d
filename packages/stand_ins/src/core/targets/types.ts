/** How a stand-in target can be made to misbehave. */

/** Each fault holds until it is switched off, counters until they reach 0. */
export interface TargetFaults {
  /** Added to each answer. */
  delayMs: number;
  /** The connections of this many next answers die after half the body. */
  closeMidBody: number;
  /** The connections of this many next requests die after they have run. */
  closeBeforeAnswer: number;
  /** Refuses every request as not run. */
  shed: boolean;
  /** Says that it leaves, in health answers and in every answer. */
  leaving: boolean;
  /** Requests wait here until the fault is switched off. */
  hold: boolean;
  /** What the health answer states in place of the truth. */
  reportedInFlight: number | undefined;
  /** Answers carry this request identifier in place of the request's own. */
  echoedRequestId: string | undefined;
  /** A request whose path contains this text crashes the target. */
  crashOnPath: string | undefined;
  /** Headers added to each answer. */
  extraHeaders: Readonly<Record<string, string>>;
}

/** What happens to requests at a target, for traces. */
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
  /** Runs of operations by idempotency key, over all lives of the target. */
  runsByKey(): ReadonlyMap<string, number>;
  /** Requests run so far, reads included. */
  runs(): number;
  inFlight(): number;
  /** Requests whose caller went away before their answer. */
  cancelled(): number;
  /** The latest requests, newest last. */
  received(): readonly ReceivedRequest[];
  /** Lets the requests that are held go on, and switches the fault off. */
  release(): void;
  /** Dies at once, as a process that is killed. */
  crash(): Promise<void>;
  /** Listens again on the same port. */
  restart(): Promise<void>;
  stop(): Promise<void>;
}
