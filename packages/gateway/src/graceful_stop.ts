/**
 * Graceful stop: withdraws the VM from the directory, closes the listener,
 * answers what has been sent to targets, refuses the rest, and ends within the
 * grace period. `docs/design/graceful-stop.md` has the parts in order.
 */
import {
  type StopPhase,
  type StopSchedule,
  mayBegin,
  planStop,
  stopPhaseAt,
} from '@ibisbeam/decision';
import {
  type DecisionScope,
  type Logger,
  type TimerService,
  type UnfinishedConnection,
  afterInputRead,
} from '@ibisbeam/library';

export interface GracefulStop {
  phase(): StopPhase;
  /**
   * Whether a request may be sent to a target or a peer.
   *
   * @param expectedMs Time until its answer.
   */
  mayBegin(expectedMs: number): boolean;
  /** Resolves when the process may exit. Call it once. */
  run(): Promise<void>;
}

/** What a stop needs of the client-facing server, which documents it. */
export interface StoppableServer {
  close(): Promise<void>;
  isListening(): boolean;
  closeIdle(): void;
  decideNow(scope: DecisionScope): void;
  terminate(): Promise<void>;
  inFlight(): number;
  openConnections(): number;
  lingering(): number;
  unfinished(): readonly UnfinishedConnection[];
}

export interface GracefulStopOptions {
  readonly clientFacingServer: StoppableServer;
  readonly timers: TimerService;
  readonly log: Logger;
  /** Longest time from SIGTERM to the exit of the process. */
  graceMs(): number;
  /** Notifies peers that this VM accepts no more clients. */
  announceStop(): void;
  /** Stops everything except the client-facing server. */
  stopComponents(): void;
}

const POLL_INTERVAL_MS = 50;
/** Time in which the last answers leave; readers that take longer are cut off. */
const LAST_ANSWERS_MS = 150;

interface Course {
  readonly startedAtMs: number;
  readonly schedule: StopSchedule;
}

export function createGracefulStop(options: GracefulStopOptions): GracefulStop {
  const {clientFacingServer, timers, log} = options;
  let course: Course | undefined;

  function sinceStartMs({startedAtMs}: Course): number {
    return timers.nowMs() - startedAtMs;
  }

  async function sleep(delayMs: number): Promise<void> {
    await timers.sleep(delayMs);
    await new Promise<void>(resolve => {
      afterInputRead(timers, resolve);
    });
  }

  async function sleepUntil(current: Course, sinceMs: number): Promise<void> {
    await sleep(Math.max(sinceMs - sinceStartMs(current), 0));
  }

  /**
   * Whether nobody waits to be accepted, all answers have left, and clients have
   * had time to read them.
   */
  function isDrained(): boolean {
    return (
      !clientFacingServer.isListening() &&
      clientFacingServer.inFlight() === 0 &&
      clientFacingServer.lingering() === 0
    );
  }

  /** Resolves once all answers have left, or at the given time. */
  async function drainUntil(current: Course, sinceMs: number): Promise<void> {
    while (!isDrained() && sinceStartMs(current) < sinceMs) {
      await sleep(POLL_INTERVAL_MS);
    }
  }

  async function run(): Promise<void> {
    const current: Course = {
      startedAtMs: timers.nowMs(),
      schedule: planStop(options.graceMs()),
    };
    const {closedMs, finishingMs, endingMs} = current.schedule;
    course = current;
    log.log('info', 'vm-stopping', {inFlight: clientFacingServer.inFlight()});
    options.announceStop();
    await sleepUntil(current, closedMs);
    void clientFacingServer.close();
    await waitForFirstRequests(current, finishingMs);
    clientFacingServer.decideNow('unsent');
    clientFacingServer.closeIdle();
    await drainUntil(current, endingMs);
    if (clientFacingServer.inFlight() > 0) {
      logUnfinished('stop-bound-reached');
      clientFacingServer.decideNow('all');
      await drainUntil(current, endingMs + LAST_ANSWERS_MS);
    }
    if (clientFacingServer.inFlight() > 0) {
      logUnfinished('stop-bound-hit');
    }
    // Stops reading now, because no later request would get a response.
    void clientFacingServer.terminate();
    options.stopComponents();
    log.log('info', 'vm-stopped', {
      tookMs: Math.round(sinceStartMs(current)),
    });
  }

  /** Open connections, and those that wait, may bring their first request. */
  async function waitForFirstRequests(
    current: Course,
    untilMs: number,
  ): Promise<void> {
    while (
      (clientFacingServer.isListening() ||
        clientFacingServer.openConnections() > 0) &&
      sinceStartMs(current) < untilMs
    ) {
      await sleep(POLL_INTERVAL_MS);
    }
  }

  function logUnfinished(event: 'stop-bound-reached' | 'stop-bound-hit'): void {
    const unfinished = clientFacingServer.unfinished();
    let bytes = 0;
    for (const {bytesLeft} of unfinished) {
      bytes += bytesLeft;
    }
    log.log('warn', event, {
      inFlight: clientFacingServer.inFlight(),
      connections: unfinished.length,
      bytes,
    });
  }

  return {
    phase: () =>
      course ? stopPhaseAt(course.schedule, sinceStartMs(course)) : 'serving',
    mayBegin: expectedMs =>
      !course || mayBegin(course.schedule, sinceStartMs(course), expectedMs),
    run,
  };
}
